package laneflow.importer;

/** What in a file can't be taken over, with its place. */
public final class ImportException extends Exception {
    private static final long serialVersionUID = 1L;

    ImportException(String file, int line, String message) {
        super(file + ":" + line + ": " + message);
    }
}
