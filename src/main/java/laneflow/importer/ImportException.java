package laneflow.importer;

/** An error in the file to import, with its file name and line number. */
public final class ImportException extends Exception {
    private static final long serialVersionUID = 1L;

    ImportException(String file, int line, String message) {
        super(file + ":" + line + ": " + message);
    }
}
