package laneflow.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Note;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Worker;
import laneflow.decision.Logic;
import org.agrona.collections.Int2ObjectHashMap;

/** Serves the simulator's protocol: reads batches, dispatches their events to instances, writes the replies. */
public final class WireHost {
    private final InputStream in;
    private final OutputStream out;
    private final Record record = new Record();
    private final Reply reply = new Reply();
    private final Int2ObjectHashMap<Instance> instances = new Int2ObjectHashMap<>();
    private final List<List<Worker>> lists = new ArrayList<>();
    private final Request request = new Request();
    private final LoadReport report = new LoadReport();
    private double now;

    /** Reads from {@code in} until its end and answers on {@code out}. */
    public WireHost(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < Codes.LIST_COUNT; i++) {
            lists.add(new ArrayList<>());
        }
    }

    /** Processes batches until the input ends. */
    public void run() throws IOException, WireException {
        while (readFrame()) {
            int batch = record.headerInt(0);
            int records = record.headerInt(8);
            now = record.headerDouble(12);
            reply.begin(batch);
            int recordsRead = 0;
            while (!record.atFrameEnd()) {
                handleEvent(record.next());
                recordsRead++;
            }
            if (recordsRead != records) {
                throw new WireException(
                        "frame holds " + recordsRead + " records and announces " + (records & 0xffffffffL));
            }
            reply.flush(out);
        }
    }

    private boolean readFrame() throws IOException, WireException {
        byte[] bytes = record.ensureCapacity(Codes.BATCH_HEADER_BYTES);
        int headerLength = in.readNBytes(bytes, 0, Codes.BATCH_HEADER_BYTES);
        if (headerLength == 0) {
            return false;
        }
        if (headerLength < Codes.BATCH_HEADER_BYTES) {
            throw new WireException("input ends inside a frame's header");
        }
        int size = record.headerInt(4);
        if (size < Codes.BATCH_HEADER_BYTES) {
            throw new WireException("frame of " + (size & 0xffffffffL) + " bytes is shorter than its header");
        }
        bytes = record.ensureCapacity(size);
        int bodyLength = size - Codes.BATCH_HEADER_BYTES;
        if (in.readNBytes(bytes, Codes.BATCH_HEADER_BYTES, bodyLength) < bodyLength) {
            throw new WireException("input ends inside a frame");
        }
        record.open(size);
        return true;
    }

    private void handleEvent(int code) throws WireException {
        if (code == Codes.LIST_ENTRIES) {
            readList();
        } else if (code == Codes.START) {
            start(record.u32());
        } else if (code == Codes.STOP) {
            instances.remove(record.u32());
        } else if (code >= Codes.PEER_MESSAGE && code <= Codes.NOTE) {
            int number = record.u32();
            Instance instance = instances.get(number);
            if (instance == null) {
                throw new WireException("event " + code + " for instance " + number + ", which has not started");
            }
            deliver(code, instance);
        }
    }

    private void start(int number) throws WireException {
        long seed = record.u64();
        Instance instance = new Instance(number);
        SettingsReader parsed = SettingsReader.read(record.text());
        instance.reportFields = parsed.reportFields;
        instances.put(number, instance);
        try {
            instance.logic = new Logic(parsed.settings, seed, instance);
        } catch (IllegalArgumentException e) {
            throw new WireException("invalid settings: " + e.getMessage());
        }
        instance.logic.start(now);
    }

    /** Reports an exception in the decision module as a fault of that instance, with its source location. */
    private void deliver(int code, Instance instance) throws WireException {
        try {
            dispatch(code, instance);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(instance.number, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void dispatch(int code, Instance instance) throws WireException {
        Dispatch logic = instance.logic;
        switch (code) {
            case Codes.ABANDONED:
                logic.abandoned(now, record.u64());
                break;
            case Codes.REQUEST:
                readRequest();
                logic.request(now, request);
                break;
            case Codes.LIST:
                handleList(logic);
                break;
            case Codes.TIMER:
                logic.timer(now, record.u64());
                break;
            case Codes.PROBED:
                handleProbed(instance);
                break;
            case Codes.OUTCOME:
                handleOutcome(instance);
                break;
            case Codes.STREAMING:
                logic.streaming(now, record.u64(), record.u8());
                break;
            case Codes.NOTE:
                handleNote(logic);
                break;
            default:
                // PEER_MESSAGE is ignored: dispatchers share no state.
                break;
        }
    }

    private void handleList(Dispatch logic) throws WireException {
        ListKind kind = Codes.listKind(record.u8());
        record.u32();
        int number = record.hasMore() ? record.u8() : 0;
        if (number >= lists.size()) {
            throw new WireException("list number " + number + " is out of range");
        }
        logic.list(now, kind, kind == ListKind.FAILED ? List.of() : lists.get(number));
    }

    private void handleProbed(Instance instance) throws WireException {
        long worker = record.worker();
        double duration = record.f64();
        Outcome outcome = Codes.outcome(record.u16());
        instance.logic.probed(now, worker, duration, outcome, readReport(instance.reportFields));
    }

    private void handleOutcome(Instance instance) throws WireException {
        long id = record.u64();
        int attempt = record.u8();
        long worker = record.worker();
        Outcome outcome = Codes.outcome(record.u16());
        record.f64();
        boolean ended = record.u8() != 0;
        if (record.hasMore()) {
            record.u8();
        }
        instance.logic.outcome(now, id, attempt, worker, outcome, ended, readReport(instance.reportFields));
    }

    private void handleNote(Dispatch logic) throws WireException {
        long id = record.u64();
        double share = record.f32();
        int attempt = record.u8();
        long worker = record.worker();
        Note note = Codes.note(record.u8());
        if (note != null) {
            logic.note(now, id, attempt, worker, note, share);
        }
    }

    private void readRequest() throws WireException {
        request.id = record.u64();
        request.jobClass = record.u16();
        request.tenant = record.hasMore() ? record.u32() : -1;
        // The request's subject, which no decision uses.
        if (record.hasMore()) {
            record.u64();
        }
        request.deadline = record.f64();
        double hint = record.hasMore() ? record.f64() : Double.NaN;
        double slots = record.hasMore() ? record.f32() : 1;
        request.slots = slots > 0 ? slots : 1;
        request.memory = record.hasMore() ? record.f32() : 0;
        int options = record.hasMore() ? record.u16() : 0;
        request.hint = (options & Codes.OPTION_HINT) != 0 ? hint : Double.NaN;
    }

    private LoadReport readReport(String[] fields) throws WireException {
        int count = record.hasMore() ? record.u8() : 0;
        if (count == 0) {
            return null;
        }
        record.require(4L * count);
        report.clear();
        for (int i = 0; i < count; i++) {
            double value = record.f32();
            if (i < fields.length) {
                ReportFields.put(report, fields[i], value);
            }
        }
        return report;
    }

    /** Reads the entries of a list into objects that are reused when the same list number is sent again. */
    private void readList() throws WireException {
        int number = record.u8();
        if (number >= lists.size()) {
            throw new WireException("list number " + number + " is out of range");
        }
        long entries = record.u32() & 0xffffffffL;
        record.require(entries * Codes.LIST_ENTRY_BYTES);
        List<Worker> list = lists.get(number);
        while (list.size() > entries) {
            list.remove(list.size() - 1);
        }
        for (int i = 0; i < entries; i++) {
            if (i == list.size()) {
                list.add(new Worker());
            }
            readEntry(list.get(i));
        }
    }

    private void readEntry(Worker worker) throws WireException {
        worker.id = record.worker();
        worker.zone = record.u8();
        worker.kind = record.u16();
        worker.cell = record.u16();
        worker.state = Codes.state(record.u8());
        worker.weight = record.f32();
        worker.startedAt = record.f64();
    }

    /** One dispatcher: its decision module, whose actions are written as replies under its number. */
    private final class Instance implements Dispatch.Actions {
        private final int number;
        private Logic logic;
        private String[] reportFields;

        Instance(int number) {
            this.number = number;
        }

        @Override
        public void send(long id, int attempt, long worker) {
            reply.send(number, id, worker);
        }

        @Override
        public void refuse(long id, double retryAfter) {
            reply.refuse(number, id, retryAfter);
        }

        @Override
        public void fail(long id) {
            reply.fail(number, id);
        }

        @Override
        public boolean cancel(long id, int attempt) {
            reply.cancel(number, id, attempt);
            return false;
        }

        @Override
        public void probe(long worker) {
            reply.probe(number, worker);
        }

        @Override
        public void closeIdle(long worker) {
            reply.closeIdle(number, worker);
        }

        @Override
        public void wake(double delay, long token) {
            reply.wake(number, delay, token);
        }

        @Override
        public void watchList() {
            reply.watchList(number);
        }
    }
}
