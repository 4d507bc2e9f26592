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
final class Loop {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    /** us; told to a client that is turned away before the module has seen its message. */
    private static final long COME_BACK = 1_000_000;
    private static final long AFTER_FAULT = 100_000;
    /** Part of the folder's room that knowledge for the next process may take; the rest is the journal's. */
    private static final int KNOWLEDGE_PART = 8;
    /** ms between looks at what stands rather than is counted, and at what the module may release. */
    private static final long STAND = 100, RELEASE = 1_000;
    /** ms past a message's deadline, which lies 300 ms before its client's, by which its end is due. */
    private static final long END_DUE = 650;
    /** ms from the start; no end is overdue until 1.5 s after a start is ready. */
    private static final long AFTER_START = 3_000;
    /** What becomes of each message, by its id; for staff who follow one through the log. */
    private static final Logger TRACE = LoggerFactory.getLogger("wrenkeel.trace");

    /**
     * How a message handed in was met. A client that could not be told must be reported to {@link #withdraw}.
     */
    interface Answer {
        void taken();

        void refused(long retryAfter);

        void failed();
    }

    /** A message that the module holds, or that has calls out. */
    private static final class Held {
        final Message message;
        final Relay.MessageClass rules;
        final List<HostPool.Attempt> calls = new ArrayList<>();
        Journal.Entry entry;
        boolean over;
        /** Taken up without an attempt, and none made since. */
        boolean untried;
        int out;
        /** Clients that have been told that it is taken on, less those that are known not to have heard. */
        int told;

        Held(Message message, Relay.MessageClass rules, Journal.Entry entry) {
            this.message = message;
            this.rules = rules;
            this.entry = entry;
        }
    }

    private final EventLoop loop;
    private Relay.Settings settings;
    private final Control control;
    private final HostList hosts;
    private final HostPool pool;
    private final Journal journal;
    private final Discovery discovery;
    private final Figures figures;
    private final ProcessClock clock;
    /** All classes that the module was told of, by the number that it knows them by. */
    private final List<Relay.MessageClass> classes = new ArrayList<>();
    /** Those in force. */
    private Map<String, Relay.MessageClass> inForce = Map.of();
    private final Map<String, Held> held = new HashMap<>();
    private List<Relay.Event> events = new ArrayList<>();
    private final Map<String, Answer> unanswered = new LinkedHashMap<>();
    /** What this turn sends and is not yet on its way, by host. */
    private final Map<HostList.Host, CallBatch> bundles = new LinkedHashMap<>();
    private final TakenUp takenUp = new TakenUp();
    private final EventLoopLag lag = new EventLoopLag(STAND, System::nanoTime);
    private final long began = System.nanoTime();
    /** Unix time, ms. */
    private final long beganAt;
    private final long knowledgeMost;
    private final JournalHealth journalHealth;
    private final SendGuard guard = new SendGuard();
    /** When the turn that is carried out was decided, by the journal's clock and the module's. */
    private long turnAtMillis, turnAtMicros;
    private boolean turnDue;
    private boolean stopped;
    private boolean leaving;
    private Map<Long, Integer> outElsewhere = Map.of();
    private final EndpointHealthLog healthLog = new EndpointHealthLog();
    /** Told by earlier processes, of hosts that the list has not named yet. */
    private final Map<String, Journal.EndpointHealth> unlistedHealth = new HashMap<>();
    private int open;
    /** Destinations that the module has been told of and has not released. */
    private int introduced;

    Loop(EventLoop loop, ProcessClock clock, Config config, HostList hosts, HostPool pool, Journal journal,
         Figures figures, Agent agent) {
        this.loop = loop;
        this.clock = clock;
        this.beganAt = clock.millis();
        this.settings = config.settings();
        this.knowledgeMost = config.diskBytes() / KNOWLEDGE_PART;
        this.control = new Control(config.seed(), settings);
        this.hosts = hosts;
        this.pool = pool;
        this.journal = journal;
        this.journalHealth = new JournalHealth(loop, journal, ok -> tell(new Relay.Storage(ok)));
        this.figures = figures;
        this.discovery = agent.open(this::listed, this::noticed);
        classes.addAll(settings.classes());
        enforce();
    }

    private void enforce() {
        inForce = settings.classes().stream().collect(Collectors.toMap(Relay.MessageClass::name, c -> c));
        figures.inForce(inForce.keySet());
    }

    /** Other settings, and perhaps another address of discovery, bind from the next request on. */
    void retune(Config next) {
        // What has been read was handed in under the settings as they were.
        turn();
        settings = next.settings();
        settings.classes().stream().filter(c -> !classes.contains(c)).forEach(classes::add);
        tell(new Relay.Retuned(settings.with(List.copyOf(classes))));
        enforce();
        discovery.moveTo(next.discovery());
        pool.setLimits(settings.allowed().connectTimeout(), settings.allowed().keepAlive(),
            next.descriptors().hosts());
    }

    /** The module's number for a class, which it is told of first if a message of before brings it. */
    private int number(Relay.MessageClass rules) {
        if (!classes.contains(rules)) {
            classes.add(rules);
            tell(new Relay.Retuned(settings.with(List.copyOf(classes))));
        }
        return classes.indexOf(rules);
    }

    /** Makes the link to discovery, given what it is to call. */
    interface Agent {
        Discovery open(Discovery.Listener whenListed, Consumer<Journal.Entry> whenNoticed);
    }

    /** Takes in the list as last had, then begins to watch. One that cannot be read is told and left out. */
    void start(KnownList known) {
        if (!known.none()) {
            try (InputStream text = known.open()) {
                hosts.load(text);
            } catch (IOException e) {
                LOG.warn("the list of before cannot be taken in, begun without: {}", e.getMessage());
            }
        }
        tell(new Relay.ListAsked());
        turn();
        discovery.watch();
        loop.scheduleWithFixedDelay(this::stand, 0, STAND, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::release, RELEASE, RELEASE, TimeUnit.MILLISECONDS);
    }

    /** Connections that are accepted now may have waited for so many nanoseconds. */
    void acceptedLate(long nanos) {
        lag.waited(nanos);
    }

    /** Unix time, ms, since which what is read now may have waited in its socket. */
    long readAtMillis() {
        return clock.millis() - lag.millis();
    }

    private void stand() {
        lag.tick();
        try {
            int unavailable = control.unavailable() + hosts.drainingCount();
            figures.stands(journal.size(), hosts.listedCount(), unavailable, hosts.version(), discovery.faultCount(),
                journalHealth.failures(), lag.worstMillis());
        } catch (RuntimeException e) {
            // Guards the ticks: a periodic task that throws is never run again.
            LOG.error("figures not brought up to date", e);
        }
    }

    private void release() {
        if (introduced > 0) {
            tell(new Relay.Release());
        }
    }

    /** Before the module hears of a destination, it is told of its endpoints. */
    private void introduce(long destination) {
        Relay.Listed listed = hosts.activate(destination);
        if (listed != null) {
            introduced++;
            tell(new Relay.Introduced(listed.endpoints()));
        }
    }

    /** The host of this name, introduced if need be; null if the list does not name it. */
    private HostList.Host named(String name) {
        Long destination = hosts.destinationOf(name);
        if (destination != null) {
            introduce(destination);
        }
        return hosts.hostByName(name);
    }

    /** Goes on with what processes before this one have left, once they have ended or passed it on. */
    void adopt() throws IOException {
        journal.adopt(this::owed);
        journal.waits().forEach((host, until) -> {
            HostList.Host told = named(host);
            if (told != null) {
                tell(Relay.Known.waiting(told.id, moduleTime(until)));
            }
        });
        journal.inheritedHealth().forEach(this::inherit);
        Map<Long, Integer> out = journal.outElsewhere();
        Set<Long> changed = new HashSet<>(out.keySet());
        changed.addAll(outElsewhere.keySet());
        for (long destination : changed) {
            if (!out.getOrDefault(destination, 0).equals(outElsewhere.getOrDefault(destination, 0))) {
                introduce(destination);
                tell(new Relay.Elsewhere(destination, out.getOrDefault(destination, 0)));
            }
        }
        outElsewhere = out;
    }

    /** An earlier process was told of an outage, and so this relay was. */
    private void inherit(Journal.EndpointHealth told) {
        HostList.Host host = named(told.host());
        if (host == null) {
            unlistedHealth.put(told.host(), told);
        } else {
            tell(Relay.Known.health(host.id, told.health(), moduleTime(told.since()), told.carried()));
        }
    }

    private void owed(Journal.Entry entry) {
        if (entry.end != null) {
            discovery.postNotice(entry);
        } else if (entry.rules == null && !inForce.containsKey(entry.message.messageClass())) {
            LOG.warn("message {} given up: its class {} is gone", entry.message.id(),
                entry.message.messageClass());
            end(entry, new Journal.End(false, 0));
        } else {
            recover(entry);
        }
    }

    /** Passes on to the next process what is not out, and leaves what the module knows. */
    void leave() throws IOException {
        journal.beginPassing();
        leaving = true;
        tell(new Relay.Leave());
        turn();
        journal.leave(Knowledge.write(control.knowledge(), hosts, this::unixTime, knowledgeMost));
        pool.closeAllIdle();
    }

    /** Takes in what the process before this one has left. */
    void learn(Journal.Left left) {
        Knowledge.read(left.knowledge(), hosts, this::named, unix -> moduleTime(unix + left.shiftMillis()))
            .forEach(this::tell);
    }

    /** The deadline passes into the module's clock; earlier attempts keep their distance from now. */
    private void recover(Journal.Entry entry) {
        String name = entry.message.messageClass();
        Held h = new Held(entry.message, entry.rules == null ? inForce.get(name) : entry.rules, entry);
        h.told = 1;
        held.put(h.message.id(), h);
        open++;
        List<Relay.Earlier> earlier = new ArrayList<>();
        for (Journal.Attempt a : entry.attempts) {
            h.calls.add(null);
            earlier.add(new Relay.Earlier(moduleTime(a.sent), a.zone, a.mayHaveRun));
        }
        if (earlier.isEmpty()) {
            h.untried = true;
            takenUp.untried();
        }
        TRACE.debug("{} taken up, {} attempts, {} ms left", h.message.id(), earlier.size(),
            h.message.deadline() - clock.millis());
        introduce(h.message.destination());
        tell(accepted(h, true, earlier));
    }

    private Relay.Accepted accepted(Held h, boolean takenUp, List<Relay.Earlier> earlier) {
        Message m = h.message;
        long reserve = EndReserve.millis(m.deadline() - clock.millis());
        return new Relay.Accepted(m.id(), number(h.rules), m.tenant(), m.routeKey(),
            moduleTime(m.deadline() - reserve), TimeUnit.MILLISECONDS.toMicros(reserve), m.destination(),
            takenUp, earlier);
    }

    boolean knows(String messageClass, long destination) {
        return inForce.containsKey(messageClass) && hosts.isKnown(destination);
    }

    Relay.MessageClass messageClass(String name) {
        return inForce.get(name);
    }

    /** The tenant's number; one that the settings do not name stands past them and has no share. */
    int tenant(String name) {
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
        List.copyOf(unanswered.keySet()).forEach(id -> unanswered.remove(id).refused(COME_BACK));
    }

    boolean idle() {
        return open == 0 && !discovery.hasPendingNotices();
    }

    // ---- Clients --------------------------------------------------------------------------------
    /**
     * A message is handed in; the turn that follows answers it. The turn waits until all sockets that are
     * ready have been read: an answer among them may tell to wait, or that the message's host is full.
     */
    void accept(Message message, Answer answer) {
        if (unanswered.containsKey(message.id())) {
            turn();
        }
        Held known = held.get(message.id());
        if (known != null && !known.over) {
            // A client sends a request once more when its connection closed as it wrote: it is held already.
            known.told++;
            answer.taken();
            return;
        }
        Refusal refusal = refusal(known);
        if (refusal != null) {
            figures.rejected(message.messageClass());
            figures.refused(refusal);
            TRACE.debug("{} refused: {}", message.id(), refusal);
            answer.refused(COME_BACK);
            return;
        }
        Held h = new Held(message, inForce.get(message.messageClass()), null);
        held.put(message.id(), h);
        open++;
        unanswered.put(message.id(), answer);
        introduce(message.destination());
        tell(accepted(h, false, List.of()));
    }

    /** Why a message cannot be taken on now; null if it can, as far as is known before the module's turn. */
    private Refusal refusal(Held sameId) {
        if (sameId != null) {
            return Refusal.ID_IN_USE;
        }
        if (stopped) {
            return Refusal.ENDING;
        }
        if (!journalHealth.isWritable()) {
            return Refusal.FOLDER_FAILS;
        }
        return open >= settings.allowed().open() ? Refusal.HOLD_FULL : null;
    }

    /**
     * A client did not hear that its message was taken on: it hands it in anew, and this one counts for
     * nothing, unless it was handed in twice and another client heard.
     */
    void withdraw(String id) {
        Held h = held.get(id);
        if (h != null && !h.over && --h.told == 0) {
            LOG.info("message {} withdrawn, its client left before the answer", id);
            TRACE.debug("{} withdrawn", id);
            over(h);
            close(h.entry);
            tell(new Relay.Withdrawn(id));
        }
    }

    // ---- Turns ----------------------------------------------------------------------------------
    private void tell(Relay.Event event) {
        events.add(event);
        if (!turnDue && !stopped) {
            turnDue = true;
            loop.execute(this::turn);
        }
    }

    private long now() {
        return (System.nanoTime() - began) / 1_000;
    }

    /** Unix time in ms to the module's clock, which may then be below 0. */
    private long moduleTime(long unix) {
        return now() + (unix - clock.millis()) * 1_000;
    }

    /** The module's clock to Unix time in ms. */
    private long unixTime(long time) {
        return clock.millis() + (time - now()) / 1_000;
    }

    private void turn() {
        turnDue = false;
        if (events.isEmpty() || stopped) {
            return;
        }
        List<Relay.Event> told = events;
        events = new ArrayList<>();
        try {
            turnAtMillis = clock.millis();
            turnAtMicros = now();
            List<Relay.Action> actions = control.turn(turnAtMicros, told);
            answer(actions);
            readBeforeSending(actions);
            for (Relay.Action action : actions) {
                try {
                    carryOut(action);
                } catch (RuntimeException e) {
                    LOG.error("could not carry out {}", action, e);
                }
            }
            List.copyOf(bundles.keySet()).forEach(this::depart);
        } catch (RuntimeException e) {
            LOG.error("turn failed on {}", told, e);
            // Guards against standing still: the module's timer may have been lost with the turn.
            loop.schedule(() -> tell(new Relay.Due()), AFTER_FAULT, TimeUnit.MICROSECONDS);
        } finally {
            // Guards clients against silence if the turn failed: nothing was written down for these.
            for (String id : List.copyOf(unanswered.keySet())) {
                refuse(id, unanswered.get(id), Refusal.TURN_FAILED);
            }
        }
    }

    /**
     * Answers the clients of this turn's new messages. An end that the module decided at once is the answer
     * itself; the others are written down, then answered, and only after that is anything sent.
     */
    private void answer(List<Relay.Action> actions) {
        for (Relay.Action action : unanswered.isEmpty() ? List.<Relay.Action>of() : actions) {
            if (action instanceof Relay.Refuse a && unanswered.containsKey(a.id())) {
                Held h = held.get(a.id());
                over(h);
                figures.rejected(h.message.messageClass());
                figures.refused(Refusal.BY_MODULE);
                TRACE.debug("{} refused: {}", a.id(), Refusal.BY_MODULE);
                unanswered.remove(a.id()).refused(a.retryAfter());
            } else if (action instanceof Relay.Fail a && unanswered.containsKey(a.id())) {
                Held h = held.get(a.id());
                over(h);
                figures.failed(h.message.messageClass());
                TRACE.debug("{} failed at once", a.id());
                unanswered.remove(a.id()).failed();
            }
        }
        for (String id : List.copyOf(unanswered.keySet())) {
            Held h = held.get(id);
            try {
                h.entry = journalHealth.isWritable() ? journal.take(h.message, h.rules) : null;
            } catch (IOException e) {
                journalHealth.failed("message " + id + " refused", e);
            }
            if (h.entry == null) {
                refuse(id, unanswered.get(id),
                    journalHealth.isWritable() ? Refusal.FOLDER_FULL : Refusal.FOLDER_FAILS);
            } else {
                h.told++;
                TRACE.debug("{} taken on, {} ms left", id, h.message.deadline() - clock.millis());
                unanswered.remove(id).taken();
            }
        }
    }

    /**
     * Reads what has come from the agent and from the destinations that are about to be sent to. The thread
     * may have been held up since it looked at its sockets, and what it has not read binds it all the same.
     */
    private void readBeforeSending(List<Relay.Action> actions) {
        Set<Long> destinations = new HashSet<>();
        for (Relay.Action action : actions) {
            HostList.Host host = action instanceof Relay.Send send ? hosts.hostById(send.endpoint()) : null;
            if (host == null) {
                continue;
            }
            if (destinations.isEmpty()) {
                discovery.readAvailable();
            }
            if (destinations.add(host.destination)) {
                hosts.hostsOf(host.destination).forEach(pool::readPendingResponses);
            }
        }
    }

    private void refuse(String id, Answer answer, Refusal why) {
        figures.refused(why);
        TRACE.debug("{} refused: {}", id, why);
        unanswered.remove(id);
        Held h = held.get(id);
        over(h);
        figures.rejected(h.message.messageClass());
        tell(new Relay.Withdrawn(id));
        answer.refused(COME_BACK);
    }

    private void carryOut(Relay.Action action) {
        if (action instanceof Relay.Send a) {
            send(a);
        } else if (action instanceof Relay.Refuse a) {
            end(a.id(), new Journal.End(true, a.retryAfter()));
        } else if (action instanceof Relay.Fail a) {
            end(a.id(), new Journal.End(false, 0));
        } else if (action instanceof Relay.Pass a) {
            pass(a.id());
        } else if (action instanceof Relay.Cancel a) {
            Held h = held.get(a.id());
            HostPool.Attempt part = h == null ? null : h.calls.get(a.attempt());
            if (part != null) {
                part.cancel();
            }
        } else if (action instanceof Relay.Close a && hosts.hostById(a.endpoint()) != null) {
            pool.closeIdle(hosts.hostById(a.endpoint()));
        } else if (action instanceof Relay.Forgotten a) {
            hosts.releaseHost(a.endpoint());
        } else if (action instanceof Relay.Released a) {
            hosts.hostsOf(a.destination()).forEach(pool::closeIdle);
            hosts.deactivate(a.destination());
            introduced--;
        } else if (action instanceof Relay.Wake a) {
            loop.schedule(() -> tell(new Relay.Due()), a.after(), TimeUnit.MICROSECONDS);
        } else if (action instanceof Relay.HealthChanged a) {
            healthChanged(a);
        }
    }

    /** Kept for the next process: a relay that was told of an outage stays told. */
    private void healthChanged(Relay.HealthChanged a) {
        HostList.Host host = hosts.hostById(a.endpoint());
        figures.healthChanged(a.reason());
        healthLog.changed(a, host);
        if (host == null) {
            return;
        }
        try {
            journal.health(new Journal.EndpointHealth(host.name, a.health(), unixTime(a.since()),
                a.carried()));
        } catch (IOException e) {
            journalHealth.failed("the health of " + host.name + " is not kept", e);
        }
    }

    // ---- Calls ----------------------------------------------------------------------------------
    private void send(Relay.Send a) {
        Held h = held.get(a.id());
        HostList.Host listed = hosts.hostById(a.endpoint());
        HostList.Host host = listed == null ? new HostList.Host(a.endpoint(), "unlisted") : listed;
        if (h == null) {
            return;
        }
        int attempt = h.calls.size();
        h.calls.add(null);
        h.out++;
        if (h.untried) {
            h.untried = false;
            takenUp.tried();
        }
        if (h.over) {
            ended(h, attempt, host, unsent(Relay.Outcome.NOT_SENT, true));
            return;
        }
        if (!permitted(h, host)) {
            ended(h, attempt, host, unsent(Relay.Outcome.NOT_SENT, false));
            return;
        }
        if (!writtenDown(h, host)) {
            ended(h, attempt, host, unsent(Relay.Outcome.NOT_JOURNALED, false));
            return;
        }
        if (!host.ready) {
            ended(h, attempt, host, unsent(Relay.Outcome.NOT_SENT, false));
            return;
        }
        TRACE.debug("{} attempt {} to {}", a.id(), attempt, host.name);
        HostPool.Attempt part = new HostPool.Attempt(h.message, a.timeout(),
            reply -> ended(h, attempt, host, reply));
        h.calls.set(attempt, part);
        if (!bundles.computeIfAbsent(host, key -> new CallBatch())
                .hasRoomFor(h.message, settings.kinds().get(host.kind).bundle())) {
            depart(host);
        }
        bundles.computeIfAbsent(host, key -> new CallBatch()).add(part);
    }

    private boolean apart(HostList.Host host) {
        return settings.kinds().get(host.kind).apart();
    }

    /** What the rules forbid does not go out, whatever was decided. */
    private boolean permitted(Held h, HostList.Host host) {
        boolean apart = apart(host);
        Violation violation = guard.check(h.entry, h.rules, host, apart, turnAtMillis, turnAtMicros);
        if (violation != null) {
            violated(violation, h.message.id());
        }
        // What a pause since the decision has overtaken is nobody's fault, and does not go out either.
        boolean permitted = violation == null && !guard.mustWait(host, apart, now())
            && guard.check(h.entry, h.rules, host, apart, clock.millis(), now()) == null;
        if (!permitted) {
            // It keeps its number.
            journal.notMade(h.entry, clock.millis(), host.zone);
        }
        return permitted;
    }

    private void violated(Violation rule, String id) {
        figures.violated(rule);
        LOG.error("{}: message {}", rule, id);
    }

    private static HostPool.Reply unsent(Relay.Outcome outcome, boolean over) {
        return new HostPool.Reply(outcome, over, 0, 0, -1, -1);
    }

    /** Writes an attempt down before any byte of it goes out; false if it must not be made. */
    private boolean writtenDown(Held h, HostList.Host host) {
        if (!journalHealth.isWritable()) {
            journal.notMade(h.entry, clock.millis(), host.zone);
            return false;
        }
        try {
            journal.sent(h.entry, clock.millis(), host.zone);
            return true;
        } catch (IOException e) {
            journalHealth.failed("message " + h.message.id() + " not sent", e);
            return false;
        }
    }

    private void depart(HostList.Host host) {
        pool.startCall(host, bundles.remove(host).attempts());
    }

    private void ended(Held h, int attempt, HostList.Host host, HostPool.Reply reply) {
        if (stopped) {
            return;
        }
        h.out--;
        TRACE.debug("{} attempt {} to {} ended: {} after {} us", h.message.id(), attempt, host.name,
            reply.outcome(), reply.latencyMicros());
        if (reply.retryAfterMicros() > 0) {
            wait(host, reply.retryAfterMicros());
            guard.heardWait(host, apart(host), now(), reply.retryAfterMicros());
            // Guards the rule on waits: calls there that still wait for their connection do not go out.
            (apart(host) ? List.of(host) : hosts.hostsOf(host.destination)).forEach(pool::cancelUnsent);
        }
        boolean over = h.over || reply.messageOver();
        if (!h.over) {
            if (reply.messageOver()) {
                over(h);
                close(h.entry);
                if (reply.outcome() == Relay.Outcome.OK) {
                    figures.completed(h.message.messageClass());
                } else {
                    // Its time was up before the host heard of it.
                    figures.failed(h.message.messageClass());
                }
            } else if (reply.outcome().neverRan() && reply.outcome() != Relay.Outcome.NOT_JOURNALED) {
                notRun(h, attempt, reply.outcome() == Relay.Outcome.NO_SOCKET);
            }
        }
        tell(new Relay.Ended(h.message.id(), attempt, host.id, reply.outcome(), over, reply.retryAfterMicros(),
            reply.latencyMicros(), reply.remainingShare(), reply.rateLimitPerSecond()));
        forget(h);
    }

    /** Guards the rule on waits across a replacement: the next process must hear of this one too. */
    private void wait(HostList.Host host, long span) {
        if (leaving) {
            try {
                journal.waits(host.name, clock.millis() + span / 1_000 + 1);
            } catch (IOException e) {
                journalHealth.failed("a wait for " + host.name + " is not passed on", e);
            }
        }
    }

    private void notRun(Held h, int attempt, boolean unmade) {
        try {
            if (unmade) {
                journal.unmade(h.entry, attempt);
            } else {
                journal.notRun(h.entry, attempt);
            }
        } catch (IOException e) {
            // The attempt then counts as one that may have run, which is safe.
            journalHealth.failed("outcome of message " + h.message.id() + " is not kept", e);
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    private void end(String id, Journal.End end) {
        Held h = held.get(id);
        if (h != null && !h.over) {
            if (h.untried) {
                takenUp.endedUntried(end.handedBack(), h.message.deadline() < beganAt);
            }
            over(h);
            end(h.entry, end);
        }
    }

    private void pass(String id) {
        Held h = held.get(id);
        if (h != null && !h.over) {
            if (h.untried) {
                takenUp.passedOn();
            }
            over(h);
            try {
                journal.passed(h.entry);
            } catch (IOException e) {
                journalHealth.failed("message " + id + " is passed on at the end", e);
            }
        }
    }

    private void end(Journal.Entry entry, Journal.End end) {
        TRACE.debug("{} end decided: {}, {} ms left", entry.message.id(), end,
            entry.message.deadline() - clock.millis());
        if (entry.end != null) {
            violated(Violation.ENDED_TWICE, entry.message.id());
        }
        try {
            journal.ended(entry, end);
        } catch (IOException e) {
            journalHealth.failed("end of message " + entry.message.id() + " is told all the same", e);
        }
        discovery.postNotice(entry);
    }

    private void over(Held h) {
        h.over = true;
        open--;
        forget(h);
    }

    /**
     * The module may name a message until the last of its calls has ended. One that is over while a turn
     * is carried out is kept until that is done: it may hold a send of it, whose end the module must hear.
     */
    private void forget(Held h) {
        loop.execute(() -> {
            if (h.over && h.out == 0) {
                held.remove(h.message.id(), h);
            }
        });
    }

    /** The platform has the end of a message. */
    private void noticed(Journal.Entry entry) {
        long late = clock.millis() - entry.message.deadline();
        TRACE.debug("{} end acknowledged, {} ms left", entry.message.id(), -late);
        if (late > END_DUE && clock.millis() - beganAt > AFTER_START) {
            violated(Violation.ENDED_LATE, entry.message.id());
        }
        if (entry.end.handedBack()) {
            figures.rejected(entry.message.messageClass());
        } else {
            figures.failed(entry.message.messageClass());
        }
        close(entry);
    }

    private void close(Journal.Entry entry) {
        try {
            journal.closed(entry);
        } catch (IOException e) {
            journalHealth.failed("message " + entry.message.id() + " would be taken up again", e);
        }
    }

    // ---- List -----------------------------------------------------------------------------------
    private void listed(HostList.Change change) {
        tell(change.event());
        if (!unlistedHealth.isEmpty()) {
            List<Journal.EndpointHealth> again = List.copyOf(unlistedHealth.values());
            unlistedHealth.clear();
            again.forEach(this::inherit);
        }
        for (HostList.Host host : change.unavailable()) {
            pool.cancelUnsent(host);
            pool.closeIdle(host);
        }
    }
}
