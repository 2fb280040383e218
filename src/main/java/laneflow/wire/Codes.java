package laneflow.wire;

import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Note;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;

/** Record codes and sizes of the protocol, and the mapping of its codes to the types of the decision interface. */
final class Codes {
    static final int PEER_MESSAGE = 1;
    static final int ABANDONED = 2;
    static final int REQUEST = 3;
    static final int LIST = 4;
    static final int TIMER = 5;
    static final int PROBED = 6;
    static final int LIST_ENTRIES = 7;
    static final int OUTCOME = 8;
    static final int STOP = 9;
    static final int STREAMING = 10;
    static final int START = 11;
    static final int NOTE = 12;

    static final int SEND = 65;
    static final int FAIL = 66;
    static final int FAULT = 68;
    static final int WATCH_LIST = 69;
    static final int WAKE = 71;
    static final int CLOSE_IDLE = 72;
    static final int REFUSE = 73;
    static final int PROBE = 74;
    static final int CANCEL = 76;

    static final int BATCH_HEADER_BYTES = 20;
    static final int REPLY_HEADER_BYTES = 12;
    static final int LIST_ENTRY_BYTES = 24;
    static final int LIST_COUNT = 16;
    static final int OPTION_HINT = 1;

    private Codes() {}

    static Outcome outcome(int status) {
        switch (status) {
            case 200:
                return Outcome.OK;
            case 502:
                return Outcome.ERROR;
            case 429:
                return Outcome.FULL;
            case 408:
                return Outcome.TIMEOUT;
            case 521:
                return Outcome.CONNECT_FAILED;
            case 520:
                return Outcome.RESET;
            case 444:
                return Outcome.CANCELLED;
            case 409:
                return Outcome.MOOT;
            // An unknown outcome counts as an error, after which the request may have run.
            default:
                return Outcome.ERROR;
        }
    }

    static State state(int code) throws WireException {
        switch (code) {
            case 0:
                return State.DRAINING;
            case 1:
                return State.READY;
            case 2:
                return State.GONE;
            default:
                throw new WireException("worker state " + code + " is unknown");
        }
    }

    static ListKind listKind(int code) throws WireException {
        switch (code) {
            case 0:
                return ListKind.FAILED;
            case 1:
                return ListKind.WHOLE;
            case 2:
                return ListKind.CACHED;
            case 4:
                return ListKind.CHANGES;
            default:
                throw new WireException("list kind " + code + " is unknown");
        }
    }

    /** Returns null for an unknown kind of note. */
    static Note note(int code) {
        return code == 1 ? Note.STARTED : code == 2 ? Note.PROGRESS : null;
    }
}
