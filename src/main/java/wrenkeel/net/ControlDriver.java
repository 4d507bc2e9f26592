package wrenkeel.net;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Control;
import wrenkeel.Relay;

/**
 * Drives the module: what happens on the sockets becomes events, what the module asks for is carried out in
 * order. It decides nothing. All of it runs on one event loop.
 */
final class ControlDriver {
    private static final Logger LOG = LoggerFactory.getLogger(ControlDriver.class);
    /** us; told to a client that is turned away before the module has seen its message. */
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    private static final long FAILED_TURN_RETRY_MICROS = 100_000;
    /** Part of the folder's room that knowledge for the next process may take; the rest is the journal's. */
    private static final int SNAPSHOT_DISK_DIVISOR = 8;
    /** ms between looks at what stands rather than is counted, and at what the module may release. */
    private static final long GAUGE_INTERVAL_MS = 100, RELEASE_INTERVAL_MS = 1_000;
    /** ms past a message's deadline, which lies 300 ms before its client's, by which its end is due. */
    private static final long MAX_END_DELAY_MS = 650;
    /** ms from the start; no end is overdue until 1.5 s after a start is ready. */
    private static final long START_GRACE_MS = 3_000;
    /** What becomes of each message, by its id; for staff who follow one through the log. */
    private static final Logger TRACE = LoggerFactory.getLogger("wrenkeel.trace");

    /**
     * How a message handed in was met. A client that could not be told must be reported to {@link #withdraw}.
     */
    interface AcceptanceCallback {
        void accepted();

        void refused(long retryAfter);

        void failed();
    }

    /** A message that the module holds, or that has calls out. */
    private static final class TrackedMessage {
        final Message message;
        final Relay.MessageClass messageClass;
        final List<HostPool.Part> callParts = new ArrayList<>();
        Journal.Entry journalEntry;
        boolean ended;
        /** Taken up without an attempt, and none made since. */
        boolean untried;
        int callsOut;
        /** Clients that have been told that it is taken on, less those that are known not to have heard. */
        int acceptedAnswers;

        TrackedMessage(Message message, Relay.MessageClass rules, Journal.Entry entry) {
            this.message = message;
            this.messageClass = rules;
            this.journalEntry = entry;
        }
    }

    private final EventLoop eventLoop;
    private Relay.Settings settings;
    private final Control control;
    private final HostList hosts;
    private final HostPool pool;
    private final Journal journal;
    private final Discovery discovery;
    private final Metrics metrics;
    private final ProcessClock clock;
    /** All classes that the module was told of, by the number that it knows them by. */
    private final List<Relay.MessageClass> knownClasses = new ArrayList<>();
    /** Those in force. */
    private Map<String, Relay.MessageClass> classesInForce = Map.of();
    private final Map<String, TrackedMessage> messages = new HashMap<>();
    private List<Relay.Event> pendingEvents = new ArrayList<>();
    private final Map<String, AcceptanceCallback> unansweredClients = new LinkedHashMap<>();
    /** What this turn sends and is not yet on its way, by host. */
    private final Map<HostList.Host, Bundle> batches = new LinkedHashMap<>();
    private final TakenUp recoverySummary = new TakenUp();
    private final EventLoopLag eventLoopLag = new EventLoopLag(GAUGE_INTERVAL_MS, System::nanoTime);
    private final long startNanos = System.nanoTime();
    /** Unix time, ms. */
    private final long startMillis;
    private final long maxSnapshotBytes;
    private final JournalHealth journalHealth;
    private final SendGuard sendGuard = new SendGuard();
    /** When the turn that is carried out was decided, by the journal's clock and the module's. */
    private long turnMillis, turnMicros;
    private boolean turnScheduled;
    private boolean stopped;
    private boolean handingOver;
    private Map<Long, Integer> callsOutElsewhere = Map.of();
    private final EndpointHealthLog healthLog = new EndpointHealthLog();
    /** Told by earlier processes, of hosts that the list has not named yet. */
    private final Map<String, Journal.EndpointHealth> unlistedHealth = new HashMap<>();
    private int openMessages;
    /** Destinations that the module has been told of and has not released. */
    private int introducedDestinations;

    ControlDriver(EventLoop eventLoop, ProcessClock clock, Config config, HostList hosts, HostPool pool, Journal journal,
         Metrics metrics, DiscoveryFactory agent) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.startMillis = clock.millis();
        this.settings = config.settings();
        this.maxSnapshotBytes = config.diskBytes() / SNAPSHOT_DISK_DIVISOR;
        this.control = new Control(config.seed(), settings);
        this.hosts = hosts;
        this.pool = pool;
        this.journal = journal;
        this.journalHealth = new JournalHealth(eventLoop, journal, ok -> enqueue(new Relay.Storage(ok)));
        this.metrics = metrics;
        this.discovery = agent.create(this::listUpdated, this::endAcknowledged);
        knownClasses.addAll(settings.classes());
        updateClassesInForce();
    }

    private void updateClassesInForce() {
        classesInForce = settings.classes().stream().collect(Collectors.toMap(Relay.MessageClass::name, c -> c));
        metrics.addClasses(classesInForce.keySet());
    }

    /** Other settings, and perhaps another address of discovery, bind from the next request on. */
    void reconfigure(Config next) {
        // What has been read was handed in under the settings as they were.
        runTurn();
        settings = next.settings();
        settings.classes().stream().filter(c -> !knownClasses.contains(c)).forEach(knownClasses::add);
        enqueue(new Relay.Retuned(settings.with(List.copyOf(knownClasses))));
        updateClassesInForce();
        discovery.moveTo(next.discovery());
        pool.retune(settings.allowed().connectTimeout(), settings.allowed().keepAlive(),
            next.descriptors().hosts());
    }

    /** The module's number for a class, which it is told of first if a message of before brings it. */
    private int classIndex(Relay.MessageClass rules) {
        if (!knownClasses.contains(rules)) {
            knownClasses.add(rules);
            enqueue(new Relay.Retuned(settings.with(List.copyOf(knownClasses))));
        }
        return knownClasses.indexOf(rules);
    }

    /** Makes the link to discovery, given what it is to call. */
    interface DiscoveryFactory {
        Discovery create(Discovery.Listener whenListed, Consumer<Journal.Entry> whenNoticed);
    }

    /** Takes in the list as last had, then begins to watch. One that cannot be read is told and left out. */
    void start(KnownList known) {
        if (!known.none()) {
            try (InputStream text = known.open()) {
                hosts.take(text);
            } catch (IOException e) {
                LOG.warn("the list of before cannot be taken in, begun without: {}", e.getMessage());
            }
        }
        enqueue(new Relay.ListAsked());
        runTurn();
        discovery.watch();
        eventLoop.scheduleWithFixedDelay(this::updateGauges, 0, GAUGE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        eventLoop.scheduleWithFixedDelay(this::requestRelease, RELEASE_INTERVAL_MS, RELEASE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Connections that are accepted now may have waited for so many nanoseconds. */
    void recordAcceptDelay(long nanos) {
        eventLoopLag.recordDelay(nanos);
    }

    /** Unix time, ms, since which what is read now may have waited in its socket. */
    long earliestArrivalMillis() {
        return clock.millis() - eventLoopLag.recentMillis();
    }

    private void updateGauges() {
        eventLoopLag.tick();
        try {
            int unavailable = control.unavailable() + hosts.draining();
            metrics.updateGauges(journal.size(), hosts.listed(), unavailable, hosts.version(), discovery.faults(),
                journalHealth.failures(), eventLoopLag.maxMillis());
        } catch (RuntimeException e) {
            // Guards the ticks: a periodic task that throws is never run again.
            LOG.error("figures not brought up to date", e);
        }
    }

    private void requestRelease() {
        if (introducedDestinations > 0) {
            enqueue(new Relay.Release());
        }
    }

    /** Before the module hears of a destination, it is told of its endpoints. */
    private void introduce(long destination) {
        Relay.Listed listed = hosts.tell(destination);
        if (listed != null) {
            introducedDestinations++;
            enqueue(new Relay.Introduced(listed.endpoints()));
        }
    }

    /** The host of this name, introduced if need be; null if the list does not name it. */
    private HostList.Host introducedHost(String name) {
        Long destination = hosts.destination(name);
        if (destination != null) {
            introduce(destination);
        }
        return hosts.named(name);
    }

    /** Goes on with what processes before this one have left, once they have ended or passed it on. */
    void adopt() throws IOException {
        journal.adopt(this::resume);
        journal.waits().forEach((host, until) -> {
            HostList.Host told = introducedHost(host);
            if (told != null) {
                enqueue(Relay.Known.waiting(told.number, moduleTime(until)));
            }
        });
        journal.inheritedHealth().forEach(this::restoreHealth);
        Map<Long, Integer> out = journal.outElsewhere();
        Set<Long> changed = new HashSet<>(out.keySet());
        changed.addAll(callsOutElsewhere.keySet());
        for (long destination : changed) {
            if (!out.getOrDefault(destination, 0).equals(callsOutElsewhere.getOrDefault(destination, 0))) {
                introduce(destination);
                enqueue(new Relay.Elsewhere(destination, out.getOrDefault(destination, 0)));
            }
        }
        callsOutElsewhere = out;
    }

    /** An earlier process was told of an outage, and so this relay was. */
    private void restoreHealth(Journal.EndpointHealth told) {
        HostList.Host host = introducedHost(told.host());
        if (host == null) {
            unlistedHealth.put(told.host(), told);
        } else {
            enqueue(Relay.Known.health(host.number, told.health(), moduleTime(told.since()), told.carried()));
        }
    }

    private void resume(Journal.Entry entry) {
        if (entry.end != null) {
            discovery.notice(entry);
        } else if (entry.rules == null && !classesInForce.containsKey(entry.message.messageClass())) {
            LOG.warn("message {} given up: its class {} is gone", entry.message.id(),
                entry.message.messageClass());
            endMessage(entry, new Journal.End(false, 0));
        } else {
            recover(entry);
        }
    }

    /** Passes on to the next process what is not out, and leaves what the module knows. */
    void handOver() throws IOException {
        journal.beginPassing();
        handingOver = true;
        enqueue(new Relay.Leave());
        runTurn();
        journal.leave(Knowledge.write(control.knowledge(), hosts, this::unixMillis, maxSnapshotBytes));
        pool.closeAllIdle();
    }

    /** Takes in what the process before this one has left. */
    void restoreSnapshot(Journal.Left left) {
        Knowledge.read(left.knowledge(), hosts, this::introducedHost, unixMillis -> moduleTime(unixMillis + left.shiftMillis()))
            .forEach(this::enqueue);
    }

    /** The deadline passes into the module's clock; earlier attempts keep their distance from now. */
    private void recover(Journal.Entry entry) {
        String name = entry.message.messageClass();
        TrackedMessage tracked = new TrackedMessage(entry.message, entry.rules == null ? classesInForce.get(name) : entry.rules, entry);
        tracked.acceptedAnswers = 1;
        messages.put(tracked.message.id(), tracked);
        openMessages++;
        List<Relay.Earlier> earlier = new ArrayList<>();
        for (Journal.Attempt a : entry.attempts) {
            tracked.callParts.add(null);
            earlier.add(new Relay.Earlier(moduleTime(a.sent), a.zone, a.mayHaveRun));
        }
        if (earlier.isEmpty()) {
            tracked.untried = true;
            recoverySummary.untried();
        }
        TRACE.debug("{} taken up, {} attempts, {} ms left", tracked.message.id(), earlier.size(),
            tracked.message.deadline() - clock.millis());
        introduce(tracked.message.destination());
        enqueue(acceptedEvent(tracked, true, earlier));
    }

    private Relay.Accepted acceptedEvent(TrackedMessage tracked, boolean takenUp, List<Relay.Earlier> earlier) {
        Message m = tracked.message;
        long reserve = EndReserve.millis(m.deadline() - clock.millis());
        return new Relay.Accepted(m.id(), classIndex(tracked.messageClass), m.tenant(), m.routeKey(),
            moduleTime(m.deadline() - reserve), TimeUnit.MILLISECONDS.toMicros(reserve), m.destination(),
            takenUp, earlier);
    }

    boolean isKnown(String messageClass, long destination) {
        return classesInForce.containsKey(messageClass) && hosts.knows(destination);
    }

    Relay.MessageClass messageClass(String name) {
        return classesInForce.get(name);
    }

    /** The tenant's number; one that the settings do not name stands past them and has no share. */
    int tenantIndex(String name) {
        for (int i = 0; i < settings.tenants().size(); i++) {
            if (settings.tenants().get(i).name().equals(name)) {
                return i;
            }
        }
        return settings.tenants().size();
    }

    /**
     * The process ends: nothing more is decided or written down, calls still out count as may have run. Who
     * has handed a message in and who still does hears that it was not taken on.
     */
    void stop() {
        stopped = true;
        journalHealth.stop();
        List.copyOf(unansweredClients.keySet()).forEach(id -> unansweredClients.remove(id).refused(RETRY_AFTER_MICROS));
    }

    boolean isIdle() {
        return openMessages == 0 && !discovery.noticesLeft();
    }

    // ---- Clients --------------------------------------------------------------------------------
    /**
     * A message is handed in; the turn that follows answers it. The turn waits until all sockets that are
     * ready have been read: an answer among them may tell to wait, or that the message's host is full.
     */
    void accept(Message message, AcceptanceCallback answer) {
        if (unansweredClients.containsKey(message.id())) {
            runTurn();
        }
        TrackedMessage known = messages.get(message.id());
        if (known != null && !known.ended) {
            // A client sends a request once more when its connection closed as it wrote: it is held already.
            known.acceptedAnswers++;
            answer.accepted();
            return;
        }
        Refusal refusal = refusal(known);
        if (refusal != null) {
            metrics.countRejected(message.messageClass());
            metrics.countRefusal(refusal);
            TRACE.debug("{} refused: {}", message.id(), refusal);
            answer.refused(RETRY_AFTER_MICROS);
            return;
        }
        TrackedMessage tracked = new TrackedMessage(message, classesInForce.get(message.messageClass()), null);
        messages.put(message.id(), tracked);
        openMessages++;
        unansweredClients.put(message.id(), answer);
        introduce(message.destination());
        enqueue(acceptedEvent(tracked, false, List.of()));
    }

    /** Why a message cannot be taken on now; null if it can, as far as is known before the module's turn. */
    private Refusal refusal(TrackedMessage sameId) {
        if (sameId != null) {
            return Refusal.ID_IN_USE;
        }
        if (stopped) {
            return Refusal.ENDING;
        }
        if (!journalHealth.isWritable()) {
            return Refusal.FOLDER_FAILS;
        }
        return openMessages >= settings.allowed().open() ? Refusal.HOLD_FULL : null;
    }

    /**
     * A client did not hear that its message was taken on: it hands it in anew, and this one counts for
     * nothing, unless it was handed in twice and another client heard.
     */
    void withdraw(String id) {
        TrackedMessage tracked = messages.get(id);
        if (tracked != null && !tracked.ended && --tracked.acceptedAnswers == 0) {
            LOG.info("message {} withdrawn, its client left before the answer", id);
            TRACE.debug("{} withdrawn", id);
            markEnded(tracked);
            closeEntry(tracked.journalEntry);
            enqueue(new Relay.Withdrawn(id));
        }
    }

    // ---- Turns ----------------------------------------------------------------------------------
    private void enqueue(Relay.Event event) {
        pendingEvents.add(event);
        if (!turnScheduled && !stopped) {
            turnScheduled = true;
            eventLoop.execute(this::runTurn);
        }
    }

    private long moduleNow() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    /** Unix time in ms to the module's clock, which may then be below 0. */
    private long moduleTime(long unixMillis) {
        return moduleNow() + (unixMillis - clock.millis()) * 1_000;
    }

    /** The module's clock to Unix time in ms. */
    private long unixMillis(long time) {
        return clock.millis() + (time - moduleNow()) / 1_000;
    }

    private void runTurn() {
        turnScheduled = false;
        if (pendingEvents.isEmpty() || stopped) {
            return;
        }
        List<Relay.Event> told = pendingEvents;
        pendingEvents = new ArrayList<>();
        try {
            turnMillis = clock.millis();
            turnMicros = moduleNow();
            List<Relay.Action> actions = control.turn(turnMicros, told);
            answerClients(actions);
            readInputBeforeSending(actions);
            for (Relay.Action action : actions) {
                try {
                    perform(action);
                } catch (RuntimeException e) {
                    LOG.error("could not carry out {}", action, e);
                }
            }
            List.copyOf(batches.keySet()).forEach(this::startCall);
        } catch (RuntimeException e) {
            LOG.error("turn failed on {}", told, e);
            // Guards against standing still: the module's timer may have been lost with the turn.
            eventLoop.schedule(() -> enqueue(new Relay.Due()), FAILED_TURN_RETRY_MICROS, TimeUnit.MICROSECONDS);
        } finally {
            // Guards clients against silence if the turn failed: nothing was written down for these.
            for (String id : List.copyOf(unansweredClients.keySet())) {
                refuse(id, unansweredClients.get(id), Refusal.TURN_FAILED);
            }
        }
    }

    /**
     * Answers the clients of this turn's new messages. An end that the module decided at once is the answer
     * itself; the others are written down, then answered, and only after that is anything sent.
     */
    private void answerClients(List<Relay.Action> actions) {
        for (Relay.Action action : unansweredClients.isEmpty() ? List.<Relay.Action>of() : actions) {
            if (action instanceof Relay.Refuse a && unansweredClients.containsKey(a.id())) {
                TrackedMessage tracked = messages.get(a.id());
                markEnded(tracked);
                metrics.countRejected(tracked.message.messageClass());
                metrics.countRefusal(Refusal.BY_MODULE);
                TRACE.debug("{} refused: {}", a.id(), Refusal.BY_MODULE);
                unansweredClients.remove(a.id()).refused(a.retryAfter());
            } else if (action instanceof Relay.Fail a && unansweredClients.containsKey(a.id())) {
                TrackedMessage tracked = messages.get(a.id());
                markEnded(tracked);
                metrics.countFailed(tracked.message.messageClass());
                TRACE.debug("{} failed at once", a.id());
                unansweredClients.remove(a.id()).failed();
            }
        }
        for (String id : List.copyOf(unansweredClients.keySet())) {
            TrackedMessage tracked = messages.get(id);
            try {
                tracked.journalEntry = journalHealth.isWritable() ? journal.take(tracked.message, tracked.messageClass) : null;
            } catch (IOException e) {
                journalHealth.failed("message " + id + " refused", e);
            }
            if (tracked.journalEntry == null) {
                refuse(id, unansweredClients.get(id),
                    journalHealth.isWritable() ? Refusal.FOLDER_FULL : Refusal.FOLDER_FAILS);
            } else {
                tracked.acceptedAnswers++;
                TRACE.debug("{} taken on, {} ms left", id, tracked.message.deadline() - clock.millis());
                unansweredClients.remove(id).accepted();
            }
        }
    }

    /**
     * Reads what has come from the agent and from the destinations that are about to be sent to. The thread
     * may have been held up since it looked at its sockets, and what it has not read binds it all the same.
     */
    private void readInputBeforeSending(List<Relay.Action> actions) {
        Set<Long> destinations = new HashSet<>();
        for (Relay.Action action : actions) {
            HostList.Host host = action instanceof Relay.Send send ? hosts.host(send.endpoint()) : null;
            if (host == null) {
                continue;
            }
            if (destinations.isEmpty()) {
                discovery.readNow();
            }
            if (destinations.add(host.destination)) {
                hosts.hostsOf(host.destination).forEach(pool::readAnswers);
            }
        }
    }

    private void refuse(String id, AcceptanceCallback answer, Refusal why) {
        metrics.countRefusal(why);
        TRACE.debug("{} refused: {}", id, why);
        unansweredClients.remove(id);
        TrackedMessage tracked = messages.get(id);
        markEnded(tracked);
        metrics.countRejected(tracked.message.messageClass());
        enqueue(new Relay.Withdrawn(id));
        answer.refused(RETRY_AFTER_MICROS);
    }

    private void perform(Relay.Action action) {
        if (action instanceof Relay.Send a) {
            send(a);
        } else if (action instanceof Relay.Refuse a) {
            endMessage(a.id(), new Journal.End(true, a.retryAfter()));
        } else if (action instanceof Relay.Fail a) {
            endMessage(a.id(), new Journal.End(false, 0));
        } else if (action instanceof Relay.Pass a) {
            passToNextProcess(a.id());
        } else if (action instanceof Relay.Cancel a) {
            TrackedMessage tracked = messages.get(a.id());
            HostPool.Part part = tracked == null ? null : tracked.callParts.get(a.attempt());
            if (part != null) {
                part.cancel();
            }
        } else if (action instanceof Relay.Close a && hosts.host(a.endpoint()) != null) {
            pool.closeIdle(hosts.host(a.endpoint()));
        } else if (action instanceof Relay.Forgotten a) {
            hosts.forget(a.endpoint());
        } else if (action instanceof Relay.Released a) {
            hosts.hostsOf(a.destination()).forEach(pool::closeIdle);
            hosts.release(a.destination());
            introducedDestinations--;
        } else if (action instanceof Relay.Wake a) {
            eventLoop.schedule(() -> enqueue(new Relay.Due()), a.after(), TimeUnit.MICROSECONDS);
        } else if (action instanceof Relay.HealthChanged a) {
            healthChanged(a);
        }
    }

    /** Kept for the next process: a relay that was told of an outage stays told. */
    private void healthChanged(Relay.HealthChanged a) {
        HostList.Host host = hosts.host(a.endpoint());
        metrics.countHealthChange(a.reason());
        healthLog.logChange(a, host);
        if (host == null) {
            return;
        }
        try {
            journal.health(new Journal.EndpointHealth(host.name, a.health(), unixMillis(a.since()),
                a.carried()));
        } catch (IOException e) {
            journalHealth.failed("the health of " + host.name + " is not kept", e);
        }
    }

    // ---- Calls ----------------------------------------------------------------------------------
    private void send(Relay.Send a) {
        TrackedMessage tracked = messages.get(a.id());
        HostList.Host listed = hosts.host(a.endpoint());
        HostList.Host host = listed == null ? new HostList.Host(a.endpoint(), "unlisted") : listed;
        if (tracked == null) {
            return;
        }
        int attempt = tracked.callParts.size();
        tracked.callParts.add(null);
        tracked.callsOut++;
        if (tracked.untried) {
            tracked.untried = false;
            recoverySummary.tried();
        }
        if (tracked.ended) {
            attemptEnded(tracked, attempt, host, unsentReply(Relay.Outcome.NOT_SENT, true));
            return;
        }
        if (!checkPermitted(tracked, host)) {
            attemptEnded(tracked, attempt, host, unsentReply(Relay.Outcome.NOT_SENT, false));
            return;
        }
        if (!journalAttempt(tracked, host)) {
            attemptEnded(tracked, attempt, host, unsentReply(Relay.Outcome.NOT_JOURNALED, false));
            return;
        }
        if (!host.ready) {
            attemptEnded(tracked, attempt, host, unsentReply(Relay.Outcome.NOT_SENT, false));
            return;
        }
        TRACE.debug("{} attempt {} to {}", a.id(), attempt, host.name);
        HostPool.Part part = new HostPool.Part(tracked.message, a.timeout(),
            reply -> attemptEnded(tracked, attempt, host, reply));
        tracked.callParts.set(attempt, part);
        if (!batches.computeIfAbsent(host, key -> new Bundle())
                .takes(tracked.message, settings.kinds().get(host.kind).bundle())) {
            startCall(host);
        }
        batches.computeIfAbsent(host, key -> new Bundle()).add(part);
    }

    private boolean hasSeparateEndpoints(HostList.Host host) {
        return settings.kinds().get(host.kind).apart();
    }

    /** What the rules forbid does not go out, whatever was decided. */
    private boolean checkPermitted(TrackedMessage tracked, HostList.Host host) {
        boolean apart = hasSeparateEndpoints(host);
        Violation violation = sendGuard.findViolation(tracked.journalEntry, tracked.messageClass, host, apart, turnMillis, turnMicros);
        if (violation != null) {
            reportViolation(violation, tracked.message.id());
        }
        // What a pause since the decision has overtaken is nobody's fault, and does not go out either.
        boolean permitted = violation == null && !sendGuard.mustWait(host, apart, moduleNow())
            && sendGuard.findViolation(tracked.journalEntry, tracked.messageClass, host, apart, clock.millis(), moduleNow()) == null;
        if (!permitted) {
            // It keeps its number.
            journal.notMade(tracked.journalEntry, clock.millis(), host.zone);
        }
        return permitted;
    }

    private void reportViolation(Violation rule, String id) {
        metrics.countViolation(rule);
        LOG.error("{}: message {}", rule, id);
    }

    private static HostPool.Reply unsentReply(Relay.Outcome outcome, boolean over) {
        return new HostPool.Reply(outcome, over, 0, 0, -1, -1);
    }

    /** Writes an attempt down before any byte of it goes out; false if it must not be made. */
    private boolean journalAttempt(TrackedMessage tracked, HostList.Host host) {
        if (!journalHealth.isWritable()) {
            journal.notMade(tracked.journalEntry, clock.millis(), host.zone);
            return false;
        }
        try {
            journal.sent(tracked.journalEntry, clock.millis(), host.zone);
            return true;
        } catch (IOException e) {
            journalHealth.failed("message " + tracked.message.id() + " not sent", e);
            return false;
        }
    }

    private void startCall(HostList.Host host) {
        pool.call(host, batches.remove(host).parts());
    }

    private void attemptEnded(TrackedMessage tracked, int attempt, HostList.Host host, HostPool.Reply reply) {
        if (stopped) {
            return;
        }
        tracked.callsOut--;
        TRACE.debug("{} attempt {} to {} ended: {} after {} us", tracked.message.id(), attempt, host.name,
            reply.outcome(), reply.latency());
        if (reply.waitFor() > 0) {
            persistWait(host, reply.waitFor());
            sendGuard.recordWait(host, hasSeparateEndpoints(host), moduleNow(), reply.waitFor());
            // Guards the rule on waits: calls there that still wait for their connection do not go out.
            (hasSeparateEndpoints(host) ? List.of(host) : hosts.hostsOf(host.destination)).forEach(pool::takeBack);
        }
        boolean ended = tracked.ended || reply.over();
        if (!tracked.ended) {
            if (reply.over()) {
                markEnded(tracked);
                closeEntry(tracked.journalEntry);
                if (reply.outcome() == Relay.Outcome.OK) {
                    metrics.countCompleted(tracked.message.messageClass());
                } else {
                    // Its time was up before the host heard of it.
                    metrics.countFailed(tracked.message.messageClass());
                }
            } else if (reply.outcome().neverRan() && reply.outcome() != Relay.Outcome.NOT_JOURNALED) {
                journalNotRun(tracked, attempt, reply.outcome() == Relay.Outcome.NO_SOCKET);
            }
        }
        enqueue(new Relay.Ended(tracked.message.id(), attempt, host.number, reply.outcome(), ended, reply.waitFor(),
            reply.latency(), reply.left(), reply.limit()));
        removeWhenDone(tracked);
    }

    /** Guards the rule on waits across a replacement: the next process must hear of this one too. */
    private void persistWait(HostList.Host host, long span) {
        if (handingOver) {
            try {
                journal.waits(host.name, clock.millis() + span / 1_000 + 1);
            } catch (IOException e) {
                journalHealth.failed("a wait for " + host.name + " is not passed on", e);
            }
        }
    }

    private void journalNotRun(TrackedMessage tracked, int attempt, boolean unmade) {
        try {
            if (unmade) {
                journal.unmade(tracked.journalEntry, attempt);
            } else {
                journal.notRun(tracked.journalEntry, attempt);
            }
        } catch (IOException e) {
            // The attempt then counts as one that may have run, which is safe.
            journalHealth.failed("outcome of message " + tracked.message.id() + " is not kept", e);
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    private void endMessage(String id, Journal.End end) {
        TrackedMessage tracked = messages.get(id);
        if (tracked != null && !tracked.ended) {
            if (tracked.untried) {
                recoverySummary.endedUntried(end.handedBack(), tracked.message.deadline() < startMillis);
            }
            markEnded(tracked);
            endMessage(tracked.journalEntry, end);
        }
    }

    private void passToNextProcess(String id) {
        TrackedMessage tracked = messages.get(id);
        if (tracked != null && !tracked.ended) {
            if (tracked.untried) {
                recoverySummary.passedOn();
            }
            markEnded(tracked);
            try {
                journal.passed(tracked.journalEntry);
            } catch (IOException e) {
                journalHealth.failed("message " + id + " is passed on at the end", e);
            }
        }
    }

    private void endMessage(Journal.Entry entry, Journal.End end) {
        TRACE.debug("{} end decided: {}, {} ms left", entry.message.id(), end,
            entry.message.deadline() - clock.millis());
        if (entry.end != null) {
            reportViolation(Violation.ENDED_TWICE, entry.message.id());
        }
        try {
            journal.ended(entry, end);
        } catch (IOException e) {
            journalHealth.failed("end of message " + entry.message.id() + " is told all the same", e);
        }
        discovery.notice(entry);
    }

    private void markEnded(TrackedMessage tracked) {
        tracked.ended = true;
        openMessages--;
        removeWhenDone(tracked);
    }

    /**
     * The module may name a message until the last of its calls has ended. One that is over while a turn
     * is carried out is kept until that is done: it may hold a send of it, whose end the module must hear.
     */
    private void removeWhenDone(TrackedMessage tracked) {
        eventLoop.execute(() -> {
            if (tracked.ended && tracked.callsOut == 0) {
                messages.remove(tracked.message.id(), tracked);
            }
        });
    }

    /** The platform has the end of a message. */
    private void endAcknowledged(Journal.Entry entry) {
        long late = clock.millis() - entry.message.deadline();
        TRACE.debug("{} end acknowledged, {} ms left", entry.message.id(), -late);
        if (late > MAX_END_DELAY_MS && clock.millis() - startMillis > START_GRACE_MS) {
            reportViolation(Violation.ENDED_LATE, entry.message.id());
        }
        if (entry.end.handedBack()) {
            metrics.countRejected(entry.message.messageClass());
        } else {
            metrics.countFailed(entry.message.messageClass());
        }
        closeEntry(entry);
    }

    private void closeEntry(Journal.Entry entry) {
        try {
            journal.closed(entry);
        } catch (IOException e) {
            journalHealth.failed("message " + entry.message.id() + " would be taken up again", e);
        }
    }

    // ---- List -----------------------------------------------------------------------------------
    private void listUpdated(HostList.Change change) {
        enqueue(change.listed());
        if (!unlistedHealth.isEmpty()) {
            List<Journal.EndpointHealth> again = List.copyOf(unlistedHealth.values());
            unlistedHealth.clear();
            again.forEach(this::restoreHealth);
        }
        for (HostList.Host host : change.unready()) {
            pool.takeBack(host);
            pool.closeIdle(host);
        }
    }
}
