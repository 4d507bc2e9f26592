package wrenkeel;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Connects the simulator to the decision module: hosts one {@link Control} per simulated relay instance and
 * converts messages of the wire protocol ({@link Wire}) to events, and actions to messages. It makes no
 * decisions of its own. One thread.
 */
final class SimHost {
    /** The decision modules, by instance. */
    private final Map<Integer, Control> controls = new TreeMap<>();
    /** Lists of endpoints, by the number that {@code Membership} messages refer to. */
    private final Map<Long, List<Relay.Endpoint>> rosters = new TreeMap<>();
    /** Events of the current batch, by instance, in the order in which the batch first mentions instances. */
    private final Map<Integer, List<Relay.Event>> batchEvents = new java.util.LinkedHashMap<>();
    private final Wire.Writer writer;
    private long batchTimeMicros;
    private long frame;
    private boolean inBatch;

    private SimHost(OutputStream out) throws IOException {
        writer = new Wire.Writer(out);
    }

    /**
     * Serves until the input ends.
     *
     * @return 0 if the input ends outside a batch; 1 after a malformed line or an input that ends inside a
     *     batch, which is reported on {@code err} with the line's number
     */
    static int serve(InputStream in, OutputStream out, PrintStream err) throws IOException {
        SimHost host = new SimHost(new BufferedOutputStream(out, 1 << 16));
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        long lineNumber = 0;
        try {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                if (!line.isBlank()) {
                    host.handleLine(line);
                }
            }
        } catch (Wire.MalformedException e) {
            err.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
        if (host.inBatch) {
            err.println("line " + lineNumber + ": input ended inside a batch");
            return 1;
        }
        return 0;
    }

    private void handleLine(String line) throws IOException {
        Wire.Fields fields = Wire.decode(line);
        String verb = fields.text("verb");
        if (!inBatch) {
            if (!verb.equals("Batch")) {
                throw new Wire.MalformedException("'" + verb + "' outside a batch");
            }
            batchTimeMicros = fields.micros("sim-time");
            frame = fields.longValue("frame");
            inBatch = true;
            return;
        }
        switch (verb) {
            case "Batch" -> throw new Wire.MalformedException("'Batch' inside a batch");
            case "Eob" -> runBatch();
            case "Table" ->
                rosters.put(fields.longValue("roster-id"), Wire.endpoints(fields.objects("items")));
            case "Start" -> startInstance(instance(fields), fields);
            case "Down" -> {
                controls.remove(instance(fields));
                batchEvents.remove(instance(fields));
            }
            case "Membership" -> handleMembership(fields);
            default -> {
                Relay.Event event = Wire.event(verb, fields);
                List<Relay.Event> events = eventsOf(instance(fields));
                if (event != null) {
                    events.add(event);
                }
            }
        }
    }

    private static int instance(Wire.Fields fields) throws Wire.MalformedException {
        return (int) fields.longValue("i");
    }

    /** Returns the list that collects the instance's events of this batch. */
    private List<Relay.Event> eventsOf(int instance) throws Wire.MalformedException {
        if (!controls.containsKey(instance)) {
            throw new Wire.MalformedException("instance " + instance + " is not running");
        }
        return batchEvents.computeIfAbsent(instance, key -> new ArrayList<>());
    }

    private void startInstance(int instance, Wire.Fields fields) throws Wire.MalformedException {
        long seed = fields.longValue("nonce64");
        controls.put(instance, new Control(seed, Wire.settings(fields.object("settings"))));
        batchEvents.remove(instance);
        eventsOf(instance);
    }

    /** Adds the event for discovery's answer; a failed query adds none. */
    private void handleMembership(Wire.Fields fields) throws Wire.MalformedException {
        List<Relay.Event> events = eventsOf(instance(fields));
        String mode = fields.text("mode");
        if (mode.equals("failed")) {
            return;
        }
        List<Relay.Endpoint> items = rosters.get(fields.longValue("roster-id"));
        if (items == null) {
            throw new Wire.MalformedException("unknown roster-id " + fields.longValue("roster-id"));
        }
        Relay.ListKind kind = switch (mode) {
            case "delta" -> Relay.ListKind.CHANGES;
            case "full", "cached" -> Relay.ListKind.WHOLE;
            default -> throw new Wire.MalformedException("unknown mode '" + mode + "'");
        };
        events.add(new Relay.ListUpdated(kind, items));
    }

    /** Lets each instance that the batch mentions handle its events, and writes their actions. */
    private void runBatch() throws IOException {
        for (Map.Entry<Integer, List<Relay.Event>> entry : batchEvents.entrySet()) {
            for (Relay.Action action : controls.get(entry.getKey()).turn(batchTimeMicros, entry.getValue())) {
                writer.writeAction(entry.getKey(), action);
            }
        }
        batchEvents.clear();
        inBatch = false;
        writer.writeFinished(frame);
    }
}
