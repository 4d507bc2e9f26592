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
 * Drives the decision module ({@link Control}). Whatever happens on the sockets, in the host list or in the
 * journal is queued as an event. One turn passes the queued events to the module and performs the actions
 * that it returns, in order. This class makes no decisions of its own. All methods run on one event loop.
 */
final class ControlDriver {
    private static final Logger LOG = LoggerFactory.getLogger(ControlDriver.class);
    /** Retry-After for a client whose message is refused before the module has seen it. */
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    /** Delay before the module's timer is raised again after a failed turn. */
    private static final long FAILED_TURN_RETRY_MICROS = 100_000;
    /** Interval between updates of the gauges and measurements of the event loop's lag. */
    private static final long GAUGE_INTERVAL_MS = 100;
    /** Interval between requests to the module to release unused destinations. */
    private static final long RELEASE_INTERVAL_MS = 1_000;
    /**
     * The platform must have acknowledged a message's end by this time after the message's deadline. That
     * deadline lies 300 ms before the client's own.
     */
    private static final long MAX_END_DELAY_MS = 650;
    /**
     * No end counts as overdue within this time of the process's start: an end is not due until 1.5 s after a
     * starting process is ready.
     */
    private static final long START_GRACE_MS = 3_000;
    /** Logs each step of each message with the message's id, so that operators can follow one message. */
    private static final Logger TRACE = LoggerFactory.getLogger("wrenkeel.trace");

    /**
     * Receives the immediate response to a client's message; exactly one method is called, once. If the
     * client cannot be sent the response {@link #accepted}, the caller must report that to {@link #withdraw}.
     */
    interface AcceptanceCallback {
        /** The message is in the journal and will be delivered or reported to the platform. */
        void accepted();

        /** The message was not accepted; {@code retryAfter} is in microseconds, 0 for no advice. */
        void refused(long retryAfter);

        /** The module failed the message in its first turn. */
        void failed();
    }

    /** A message that the module still holds, or that still has attempts in flight. */
    private static final class TrackedMessage {
        final Message message;
        final Relay.MessageClass messageClass;
        /** By number of attempt; null for an attempt by an earlier process, or one that was not sent. */
        final List<HostPool.Attempt> attempts = new ArrayList<>();
        /** Null until the message is in the journal. */
        Journal.Entry journalEntry;
        /** The end is decided; attempts may still be in flight. */
        boolean ended;
        /** Recovered without any attempt, and not attempted since. */
        boolean untried;
        /** Attempts whose outcome is outstanding. */
        int outstandingAttempts;
        /** Responses "accepted" sent to clients, less those that are known not to have arrived. */
        int acceptedResponses;

        TrackedMessage(Message message, Relay.MessageClass messageClass, Journal.Entry journalEntry) {
            this.message = message;
            this.messageClass = messageClass;
            this.journalEntry = journalEntry;
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
    /**
     * All message classes that the module knows, old settings' included; the module numbers them by index.
     */
    private final List<Relay.MessageClass> knownClasses = new ArrayList<>();
    /** The message classes of the current settings, by name. */
    private Map<String, Relay.MessageClass> currentClasses = Map.of();
    /** By message id. */
    private final Map<String, TrackedMessage> messages = new HashMap<>();
    /** Events that the next turn passes to the module. */
    private List<Relay.Event> pendingEvents = new ArrayList<>();
    /** Clients whose messages the next turn answers, by message id. */
    private final Map<String, AcceptanceCallback> unansweredClients = new LinkedHashMap<>();
    /** Calls that the current turn is still filling, by host. */
    private final Map<HostList.Host, CallBatch> batches = new LinkedHashMap<>();
    private final RecoverySummary recoverySummary = new RecoverySummary();
    private final EventLoopLag eventLoopLag = new EventLoopLag(GAUGE_INTERVAL_MS, System::nanoTime);
    /** Zero of the module's clock, by {@link System#nanoTime}. */
    private final long startNanos = System.nanoTime();
    /** When this driver was created, Unix time in ms. */
    private final long startMillis;
    private final JournalHealth journalHealth;
    private final SendGuard sendGuard = new SendGuard();
    /** When the current turn was decided, by the journal's clock. */
    private long turnMillis;
    /** When the current turn was decided, by the module's clock. */
    private long turnMicros;
    private boolean turnScheduled;
    private boolean stopped;
    /** This process is handing its messages over to the next one. */
    private boolean handingOver;
    /** Messages that other processes of this relay still have in flight, by destination. */
    private Map<Long, Integer> inFlightElsewhere = Map.of();
    /** Ordering keys of messages that other processes of this relay still have. */
    private Set<String> orderedKeysElsewhere = Set.of();
    private final EndpointHealthLog healthLog = new EndpointHealthLog();
    /** Health recorded by earlier processes, by host, of hosts that are not in the list yet. */
    private final Map<String, Journal.EndpointHealth> unlistedHealth = new HashMap<>();
    /** Number of messages whose end is not decided. */
    private int openMessages;
    /** Number of destinations that the module knows: introduced to it, and not released. */
    private int introducedDestinations;

    ControlDriver(EventLoop eventLoop, ProcessClock clock, Config config, HostList hosts, HostPool pool,
                  Journal journal, Metrics metrics, DiscoveryFactory discoveryFactory) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.startMillis = clock.millis();
        this.settings = config.settings();
        this.control = new Control(config.seed(), settings);
        this.hosts = hosts;
        this.pool = pool;
        this.journal = journal;
        this.journalHealth = new JournalHealth(eventLoop, journal,
            ok -> enqueue(new Relay.StorageChanged(ok)));
        this.metrics = metrics;
        this.discovery = discoveryFactory.create(this::listUpdated, this::endAcknowledged);
        knownClasses.addAll(settings.classes());
        updateCurrentClasses();
    }

    private void updateCurrentClasses() {
        currentClasses = settings.classes().stream()
            .collect(Collectors.toMap(Relay.MessageClass::name, c -> c));
        metrics.addClasses(currentClasses.keySet());
    }

    /** Applies new settings, and perhaps a new discovery address, from the next request on. */
    void reconfigure(Config next) {
        // The requests read so far came in under the previous settings: they are processed first.
        runTurn();
        settings = next.settings();
        settings.classes().stream().filter(c -> !knownClasses.contains(c)).forEach(knownClasses::add);
        enqueue(new Relay.SettingsChanged(settings.withClasses(List.copyOf(knownClasses))));
        updateCurrentClasses();
        discovery.moveTo(next.discoveryAddress());
        pool.setLimits(settings.limits().connectTimeout(), settings.limits().keepAlive(),
            next.descriptorBudget().hostConnections());
    }

    /**
     * Returns the module's number for a message class. A recovered message may have a class that the module
     * does not know: the class is added to the module's settings first.
     */
    private int classIndex(Relay.MessageClass rules) {
        if (!knownClasses.contains(rules)) {
            knownClasses.add(rules);
            enqueue(new Relay.SettingsChanged(settings.withClasses(List.copyOf(knownClasses))));
        }
        return knownClasses.indexOf(rules);
    }

    /** Creates the connection to discovery, given the callbacks for list updates and acknowledged ends. */
    interface DiscoveryFactory {
        Discovery create(Discovery.Listener listener, Consumer<Journal.Entry> onAcknowledged);
    }

    /**
     * Loads the saved host list and starts watching discovery. If that list cannot be read, logs so and
     * starts without it.
     */
    void start(SavedHostList savedList) {
        if (!savedList.isEmpty()) {
            try (InputStream text = savedList.open()) {
                hosts.load(text);
            } catch (IOException e) {
                LOG.warn("saved host list not loaded, starting without it: {}", e.getMessage());
            }
        }
        enqueue(new Relay.ListRequested());
        runTurn();
        discovery.watch();
        eventLoop.scheduleWithFixedDelay(this::updateGauges, 0, GAUGE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        eventLoop.scheduleWithFixedDelay(this::requestRelease, RELEASE_INTERVAL_MS, RELEASE_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    }

    /** Records that connections accepted now may have waited this long because accepting had failed. */
    void recordAcceptDelay(long nanos) {
        eventLoopLag.recordDelay(nanos);
    }

    /**
     * Returns the earliest time, Unix time in ms, at which a request read now may have arrived in its socket.
     */
    long earliestArrivalMillis() {
        return clock.millis() - eventLoopLag.recentMillis();
    }

    private void updateGauges() {
        eventLoopLag.tick();
        try {
            int unavailable = control.unavailableEndpoints() + hosts.drainingCount();
            metrics.updateGauges(journal.openCount(), hosts.listedCount(), unavailable, hosts.version(),
                discovery.faultCount(), journalHealth.failures(), eventLoopLag.maxMillis());
        } catch (RuntimeException e) {
            // A periodic task that throws is never run again, and the lag would no longer be measured.
            LOG.error("metrics not updated", e);
        }
    }

    private void requestRelease() {
        if (introducedDestinations > 0) {
            enqueue(new Relay.ReleaseRequested());
        }
    }

    /** Gives the module the endpoints of a destination, as it needs before any other event about it. */
    private void introduce(long destination) {
        Relay.ListUpdated listed = hosts.activate(destination);
        if (listed != null) {
            introducedDestinations++;
            enqueue(new Relay.DestinationIntroduced(listed.endpoints()));
        }
    }

    /**
     * Returns the host of this name, after introducing its destination to the module if necessary; null if
     * neither the list nor the module has a host of this name.
     */
    private HostList.Host introducedHost(String name) {
        Long destination = hosts.destinationOf(name);
        if (destination != null) {
            introduce(destination);
        }
        return hosts.hostByName(name);
    }

    /**
     * Continues the work of this relay's earlier processes: their messages, once such a process has ended or
     * has handed a message over; the waits that hosts asked them for; the endpoint health that they recorded;
     * and the number of messages that they still have in flight to each destination.
     */
    void adopt() throws IOException {
        journal.adopt(this::resume);
        journal.waits().forEach((host, until) -> {
            HostList.Host introduced = introducedHost(host);
            if (introduced != null) {
                enqueue(Relay.EndpointSnapshot.ofWait(introduced.id, moduleTime(until)));
            }
        });
        journal.takeInheritedHealth().forEach(this::restoreHealth);
        Map<Long, Integer> inFlight = journal.inFlightElsewhere();
        Set<Long> changed = new HashSet<>(inFlight.keySet());
        changed.addAll(inFlightElsewhere.keySet());
        for (long destination : changed) {
            if (!inFlight.getOrDefault(destination, 0)
                    .equals(inFlightElsewhere.getOrDefault(destination, 0))) {
                introduce(destination);
                enqueue(new Relay.ExternalCalls(destination, inFlight.getOrDefault(destination, 0)));
            }
        }
        inFlightElsewhere = inFlight;
        updateExternalKeys();
    }

    /** Notifies the module if earlier processes hold other ordering keys than before. */
    private void updateExternalKeys() {
        Set<String> keys = journal.orderedKeysElsewhere();
        if (!keys.equals(orderedKeysElsewhere)) {
            orderedKeysElsewhere = keys;
            enqueue(new Relay.ExternalOrderingKeys(keys));
        }
    }

    /** Restores the health of an endpoint: an outage that one process of a relay saw binds all of them. */
    private void restoreHealth(Journal.EndpointHealth recorded) {
        HostList.Host host = introducedHost(recorded.host());
        if (host == null) {
            unlistedHealth.put(recorded.host(), recorded);
        } else {
            enqueue(Relay.EndpointSnapshot.health(host.id, recorded.health(),
                moduleTime(recorded.sinceMillis()), recorded.callsPerSecond()));
        }
    }

    /**
     * Resumes a message of an earlier process: posts its notice if its end is decided, else goes on with it.
     */
    private void resume(Journal.Entry entry) {
        if (entry.end != null) {
            discovery.postNotice(entry);
        } else if (entry.messageClass == null && !currentClasses.containsKey(entry.message.messageClass())) {
            LOG.warn("message {} failed: its class {} is no longer configured", entry.message.id(),
                entry.message.messageClass());
            endMessage(entry, new Journal.End(false, 0));
        } else {
            recover(entry);
        }
    }

    /**
     * Hands the messages that have no attempt in flight over to the next process, and leaves it a snapshot of
     * what the module knows of the hosts. Fails if the journal or the snapshot cannot be written.
     */
    void handOver() throws IOException {
        journal.beginHandover();
        handingOver = true;
        enqueue(new Relay.HandoverStarted());
        runTurn();
        journal.publishSnapshot(HandoverSnapshot.write(control.endpointSnapshots(), hosts, this::unixMillis,
            journal.maxSnapshotBytes()));
        pool.closeAllIdle();
    }

    /** Passes the snapshot that the previous process has left to the module. */
    void restoreSnapshot(Journal.InheritedSnapshot inherited) {
        HandoverSnapshot.read(inherited.text(), hosts, this::introducedHost,
            unixMillis -> moduleTime(unixMillis + inherited.shiftMillis())).forEach(this::enqueue);
    }

    /**
     * Passes a message of an earlier process to the module. The deadline and the times of earlier attempts
     * are converted to the module's clock.
     */
    private void recover(Journal.Entry entry) {
        String name = entry.message.messageClass();
        TrackedMessage tracked = new TrackedMessage(entry.message,
            entry.messageClass == null ? currentClasses.get(name) : entry.messageClass, entry);
        tracked.acceptedResponses = 1;
        messages.put(tracked.message.id(), tracked);
        openMessages++;
        List<Relay.EarlierAttempt> earlier = new ArrayList<>();
        for (Journal.Attempt attempt : entry.attempts) {
            tracked.attempts.add(null);
            earlier.add(new Relay.EarlierAttempt(moduleTime(attempt.sentMillis), attempt.zone,
                attempt.mayHaveRun));
        }
        if (earlier.isEmpty()) {
            tracked.untried = true;
            recoverySummary.addUntried();
        }
        TRACE.debug("{} recovered, {} attempts, {} ms left", tracked.message.id(), earlier.size(),
            tracked.message.deadline() - clock.millis());
        introduce(tracked.message.destination());
        enqueue(acceptedEvent(tracked, true, earlier));
    }

    /**
     * Returns the module's event for a message. The module's deadline is earlier than the message's by the
     * time that the notice of its end may need.
     */
    private Relay.MessageAccepted acceptedEvent(TrackedMessage tracked, boolean recovered,
                                                List<Relay.EarlierAttempt> earlier) {
        Message message = tracked.message;
        long reserve = EndReserve.millis(message.deadline() - clock.millis());
        return new Relay.MessageAccepted(message.id(), classIndex(tracked.messageClass), message.tenant(),
            message.routeKey(), moduleTime(message.deadline() - reserve),
            TimeUnit.MILLISECONDS.toMicros(reserve), message.destination(), recovered, earlier);
    }

    /** True if the message class is configured and some list has named the destination. */
    boolean isKnown(String messageClass, long destination) {
        return currentClasses.containsKey(messageClass) && hosts.isKnown(destination);
    }

    /** Returns the configured message class of this name; null if there is none. */
    Relay.MessageClass messageClass(String name) {
        return currentClasses.get(name);
    }

    /**
     * Returns the tenant's index in the settings. A tenant that they do not name gets the index after the
     * last one, and has no share.
     */
    int tenantIndex(String name) {
        for (int i = 0; i < settings.tenants().size(); i++) {
            if (settings.tenants().get(i).name().equals(name)) {
                return i;
            }
        }
        return settings.tenants().size();
    }

    /**
     * Stops for good: nothing more is decided or written to the journal, and calls still in flight count as
     * possibly executed. Messages not yet answered, and all later ones, are refused.
     */
    void stop() {
        stopped = true;
        journalHealth.stop();
        List.copyOf(unansweredClients.keySet())
            .forEach(id -> unansweredClients.remove(id).refused(RETRY_AFTER_MICROS));
    }

    /** True if every message has ended and the platform has acknowledged every notice. */
    boolean isIdle() {
        return openMessages == 0 && !discovery.hasPendingNotices();
    }

    // ---- Clients --------------------------------------------------------------------------------
    /**
     * Takes a message from a client; the next turn answers it through the callback. That turn runs after all
     * ready sockets have been read, since a response among them may ask to wait, or may show that the
     * message's host is full.
     */
    void accept(Message message, AcceptanceCallback callback) {
        if (unansweredClients.containsKey(message.id())) {
            runTurn();
        }
        TrackedMessage known = messages.get(message.id());
        if (known != null && !known.ended) {
            // A client repeats its request if the connection closed while it wrote: the message is known.
            known.acceptedResponses++;
            callback.accepted();
            return;
        }
        if (answerRepeated(message, callback)) {
            return;
        }
        Refusal refusal = refusal(known);
        if (refusal != null) {
            metrics.countRejected(message.messageClass());
            metrics.countRefusal(refusal);
            TRACE.debug("{} refused: {}", message.id(), refusal);
            callback.refused(RETRY_AFTER_MICROS);
            return;
        }
        TrackedMessage tracked = new TrackedMessage(message, currentClasses.get(message.messageClass()),
            null);
        messages.put(message.id(), tracked);
        openMessages++;
        unansweredClients.put(message.id(), callback);
        // What the earlier process has accepted up to now comes first; it was read for the answer above.
        updateExternalKeys();
        introduce(message.destination());
        enqueue(acceptedEvent(tracked, false, List.of()));
    }

    /**
     * Answers a message whose id was submitted before and that must not be sent for this request: it was
     * delivered, an earlier process still holds it, or it is over and must not be repeated although nobody
     * knows whether it has run. Returns false if it is to be treated as a new message.
     */
    private boolean answerRepeated(Message message, AcceptanceCallback callback) {
        CompletedMessages.Completion completion;
        try {
            completion = journal.completion(message.id());
        } catch (IOException e) {
            LOG.warn("message {} refused: it is not known whether another process holds it: {}", message.id(),
                e.toString());
            metrics.countRejected(message.messageClass());
            metrics.countRefusal(Refusal.FOLDER_FAILS);
            callback.refused(RETRY_AFTER_MICROS);
            return true;
        }
        boolean delivered = completion != null && completion.delivered();
        if (delivered || journal.isOpenElsewhere(message.id())) {
            TRACE.debug("{} submitted again", message.id());
            callback.accepted();
            return true;
        }
        if (completion == null
                || currentClasses.get(message.messageClass()).effect() == Relay.Effect.SAFE) {
            return false;
        }
        TRACE.debug("{} submitted again, and may have run", message.id());
        metrics.countFailed(message.messageClass());
        callback.failed();
        return true;
    }

    /** Returns why a message must be refused before the module sees it; null if it need not be. */
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
        return openMessages >= settings.limits().maxOpenMessages() ? Refusal.HOLD_FULL : null;
    }

    /**
     * Withdraws a message whose client could not be sent the response: the client will submit it again. A
     * message that was submitted more than once is withdrawn only when none of the responses has arrived.
     */
    void withdraw(String id) {
        TrackedMessage tracked = messages.get(id);
        if (tracked != null && !tracked.ended && --tracked.acceptedResponses == 0) {
            LOG.info("message {} withdrawn: its client disconnected before the response was written", id);
            TRACE.debug("{} withdrawn", id);
            markEnded(tracked);
            closeEntry(tracked.journalEntry);
            enqueue(new Relay.MessageWithdrawn(id));
        }
    }

    // ---- Turns ----------------------------------------------------------------------------------
    /** Queues an event for the module and schedules a turn if none is scheduled. */
    private void enqueue(Relay.Event event) {
        pendingEvents.add(event);
        if (!turnScheduled && !stopped) {
            turnScheduled = true;
            eventLoop.execute(this::runTurn);
        }
    }

    /** Returns the time by the module's clock: microseconds since this driver was created. */
    private long moduleNow() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    /** Converts Unix time in ms to the module's clock; a time before the driver's creation is negative. */
    private long moduleTime(long unixMillis) {
        return moduleNow() + (unixMillis - clock.millis()) * 1_000;
    }

    /** Converts a time by the module's clock to Unix time in ms. */
    private long unixMillis(long time) {
        return clock.millis() + (time - moduleNow()) / 1_000;
    }

    /** Passes all queued events to the module, answers clients and performs the module's actions. */
    private void runTurn() {
        turnScheduled = false;
        if (pendingEvents.isEmpty() || stopped) {
            return;
        }
        List<Relay.Event> turnEvents = pendingEvents;
        pendingEvents = new ArrayList<>();
        try {
            turnMillis = clock.millis();
            turnMicros = moduleNow();
            List<Relay.Action> actions = control.turn(turnMicros, turnEvents);
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
            LOG.error("turn failed on {}", turnEvents, e);
            // The module may have lost its timer with the failed turn: without this event it could stall.
            eventLoop.schedule(() -> enqueue(new Relay.TimerDue()), FAILED_TURN_RETRY_MICROS,
                TimeUnit.MICROSECONDS);
        } finally {
            // After a failed turn some clients are still unanswered: their messages are not in the journal.
            for (String id : List.copyOf(unansweredClients.keySet())) {
                refuse(id, unansweredClients.get(id), Refusal.TURN_FAILED);
            }
        }
    }

    /**
     * Answers the clients of this turn's new messages. A message that the module refuses or fails at once is
     * answered so. Any other is written to the journal first and then answered; only after that is anything
     * sent.
     */
    private void answerClients(List<Relay.Action> actions) {
        for (Relay.Action action : unansweredClients.isEmpty() ? List.<Relay.Action>of() : actions) {
            if (action instanceof Relay.Refuse refuse && unansweredClients.containsKey(refuse.id())) {
                TrackedMessage tracked = messages.get(refuse.id());
                markEnded(tracked);
                metrics.countRejected(tracked.message.messageClass());
                metrics.countRefusal(Refusal.BY_MODULE);
                TRACE.debug("{} refused: {}", refuse.id(), Refusal.BY_MODULE);
                unansweredClients.remove(refuse.id()).refused(refuse.retryAfter());
            } else if (action instanceof Relay.Fail fail && unansweredClients.containsKey(fail.id())) {
                TrackedMessage tracked = messages.get(fail.id());
                markEnded(tracked);
                metrics.countFailed(tracked.message.messageClass());
                TRACE.debug("{} failed at once", fail.id());
                unansweredClients.remove(fail.id()).failed();
            }
        }
        for (String id : List.copyOf(unansweredClients.keySet())) {
            TrackedMessage tracked = messages.get(id);
            try {
                tracked.journalEntry = journalHealth.isWritable()
                    ? journal.accept(tracked.message, tracked.messageClass) : null;
            } catch (IOException e) {
                journalHealth.writeFailed("message " + id + " refused", e);
            }
            if (tracked.journalEntry == null) {
                refuse(id, unansweredClients.get(id),
                    journalHealth.isWritable() ? Refusal.FOLDER_FULL : Refusal.FOLDER_FAILS);
            } else {
                tracked.acceptedResponses++;
                TRACE.debug("{} accepted, {} ms left", id, tracked.message.deadline() - clock.millis());
                unansweredClients.remove(id).accepted();
            }
        }
    }

    /**
     * Reads what has arrived from the agent and from the destinations to which this turn sends. The thread
     * may have been delayed since it last read its sockets, and input that it has not read binds it all the
     * same: a host may be draining, or may have asked to wait.
     */
    private void readInputBeforeSending(List<Relay.Action> actions) {
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

    /** Refuses a message whose event the module has already received, and withdraws it from the module. */
    private void refuse(String id, AcceptanceCallback callback, Refusal reason) {
        metrics.countRefusal(reason);
        TRACE.debug("{} refused: {}", id, reason);
        unansweredClients.remove(id);
        TrackedMessage tracked = messages.get(id);
        markEnded(tracked);
        metrics.countRejected(tracked.message.messageClass());
        enqueue(new Relay.MessageWithdrawn(id));
        callback.refused(RETRY_AFTER_MICROS);
    }

    private void perform(Relay.Action action) {
        if (action instanceof Relay.Send send) {
            send(send);
        } else if (action instanceof Relay.Refuse refuse) {
            endMessage(refuse.id(), new Journal.End(true, refuse.retryAfter()));
        } else if (action instanceof Relay.Fail fail) {
            endMessage(fail.id(), new Journal.End(false, 0));
        } else if (action instanceof Relay.HandOver handOver) {
            passToNextProcess(handOver.id());
        } else if (action instanceof Relay.CancelAttempt cancel) {
            TrackedMessage tracked = messages.get(cancel.id());
            HostPool.Attempt hostAttempt = tracked == null ? null : tracked.attempts.get(cancel.attempt());
            if (hostAttempt != null) {
                hostAttempt.cancel();
            }
        } else if (action instanceof Relay.CloseIdleConnections close
                && hosts.hostById(close.endpoint()) != null) {
            pool.closeIdle(hosts.hostById(close.endpoint()));
        } else if (action instanceof Relay.EndpointForgotten forgotten) {
            hosts.releaseHost(forgotten.endpoint());
        } else if (action instanceof Relay.DestinationReleased released) {
            hosts.hostsOf(released.destination()).forEach(pool::closeIdle);
            hosts.deactivate(released.destination());
            introducedDestinations--;
        } else if (action instanceof Relay.SetTimer setTimer) {
            eventLoop.schedule(() -> enqueue(new Relay.TimerDue()), setTimer.delay(), TimeUnit.MICROSECONDS);
        } else if (action instanceof Relay.HealthChanged change) {
            healthChanged(change);
        }
    }

    /**
     * Counts, logs and records a change of an endpoint's health. The record is for the next process: the rule
     * on cold destinations binds a relay by the outages that any of its processes has seen.
     */
    private void healthChanged(Relay.HealthChanged change) {
        HostList.Host host = hosts.hostById(change.endpoint());
        metrics.countHealthChange(change.reason());
        healthLog.logChange(change, host);
        if (host == null) {
            return;
        }
        try {
            journal.endpointHealth(new Journal.EndpointHealth(host.name, change.health(),
                unixMillis(change.since()), change.carriedPerSecond()));
        } catch (IOException e) {
            journalHealth.writeFailed("health of " + host.name + " not recorded", e);
        }
    }

    // ---- Calls ----------------------------------------------------------------------------------
    /**
     * Adds an attempt to a call, or reports it as not sent: if the message has ended, the rules forbid it,
     * the journal cannot record it, or the host is not ready.
     */
    private void send(Relay.Send send) {
        TrackedMessage tracked = messages.get(send.id());
        HostList.Host listed = hosts.hostById(send.endpoint());
        HostList.Host host = listed == null ? new HostList.Host(send.endpoint(), "unlisted") : listed;
        if (tracked == null) {
            return;
        }
        int attempt = tracked.attempts.size();
        tracked.attempts.add(null);
        tracked.outstandingAttempts++;
        if (tracked.untried) {
            tracked.untried = false;
            recoverySummary.countAttempted();
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
        TRACE.debug("{} attempt {} to {}", send.id(), attempt, host.name);
        HostPool.Attempt hostAttempt = new HostPool.Attempt(tracked.message, send.timeout(),
            new AttemptObserver(tracked, attempt, host));
        tracked.attempts.set(attempt, hostAttempt);
        if (!batches.computeIfAbsent(host, key -> new CallBatch())
                .hasRoomFor(tracked.message, settings.kinds().get(host.kind).maxMessagesPerCall())) {
            startCall(host);
        }
        batches.computeIfAbsent(host, key -> new CallBatch()).add(hostAttempt);
    }

    /**
     * True if a wait that one host of the destination asks for does not bind the destination's other hosts.
     */
    private boolean hasIndependentEndpoints(HostList.Host host) {
        return settings.kinds().get(host.kind).independentEndpoints();
    }

    /**
     * Checks an attempt against the rules, independently of the module's decision; true if it may be made. An
     * attempt that the module should not have decided is reported as a violation.
     */
    private boolean checkPermitted(TrackedMessage tracked, HostList.Host host) {
        boolean independentEndpoints = hasIndependentEndpoints(host);
        Violation violation = sendGuard.findViolation(tracked.journalEntry, tracked.messageClass, host,
            independentEndpoints, turnMillis, turnMicros);
        if (violation != null) {
            reportViolation(violation, tracked.message.id());
        }
        // A pause of the process since the decision may have made the attempt inadmissible. It is then not
        // sent either, but the module is not at fault: that is no violation.
        boolean permitted = violation == null && !sendGuard.mustWait(host, independentEndpoints, moduleNow())
            && sendGuard.findViolation(tracked.journalEntry, tracked.messageClass, host, independentEndpoints,
                clock.millis(), moduleNow()) == null;
        if (!permitted) {
            // The attempt keeps its number.
            journal.addUnrecordedAttempt(tracked.journalEntry, clock.millis(), host.zone);
        }
        return permitted;
    }

    private void reportViolation(Violation rule, String id) {
        metrics.countViolation(rule);
        LOG.error("{}: message {}", rule, id);
    }

    /** Returns the outcome of an attempt of which nothing was sent. */
    private static HostPool.Reply unsentReply(Relay.Outcome outcome, boolean over) {
        return new HostPool.Reply(outcome, over, 0, 0, -1, -1);
    }

    /** Records an attempt in the journal, before any byte of it is sent; false if it must not be made. */
    private boolean journalAttempt(TrackedMessage tracked, HostList.Host host) {
        if (!journalHealth.isWritable()) {
            journal.addUnrecordedAttempt(tracked.journalEntry, clock.millis(), host.zone);
            return false;
        }
        try {
            journal.recordSent(tracked.journalEntry, clock.millis(), host.zone);
            return true;
        } catch (IOException e) {
            journalHealth.writeFailed("message " + tracked.message.id() + " not sent", e);
            return false;
        }
    }

    private void startCall(HostList.Host host) {
        pool.startCall(host, batches.remove(host).attempts());
    }

    /** Handles the response to one attempt. */
    private final class AttemptObserver implements HostPool.AttemptListener {
        private final TrackedMessage tracked;
        private final int attempt;
        private final HostList.Host host;

        AttemptObserver(TrackedMessage tracked, int attempt, HostList.Host host) {
            this.tracked = tracked;
            this.attempt = attempt;
            this.host = host;
        }

        @Override
        public void ended(HostPool.Reply reply) {
            attemptEnded(tracked, attempt, host, reply);
        }

        @Override
        public void retryAfterReceived(long micros) {
            if (!stopped) {
                applyWait(host, micros);
                enqueue(Relay.EndpointSnapshot.ofWait(host.id, moduleNow() + micros));
            }
        }
    }

    /** Handles the outcome of an attempt: the message's end, a wait that the host asks for, the event. */
    private void attemptEnded(TrackedMessage tracked, int attempt, HostList.Host host, HostPool.Reply reply) {
        if (stopped) {
            return;
        }
        tracked.outstandingAttempts--;
        TRACE.debug("{} attempt {} to {} ended: {} after {} us", tracked.message.id(), attempt, host.name,
            reply.outcome(), reply.latencyMicros());
        if (reply.retryAfterMicros() > 0) {
            applyWait(host, reply.retryAfterMicros());
        }
        boolean ended = tracked.ended || reply.messageOver();
        if (!tracked.ended) {
            if (reply.outcome().provesNotExecuted() && reply.outcome() != Relay.Outcome.NOT_JOURNALED) {
                journalNotRun(tracked, attempt, reply.outcome() == Relay.Outcome.NO_SOCKET);
            }
            if (reply.messageOver()) {
                markEnded(tracked);
                closeAnswered(tracked, reply.outcome() == Relay.Outcome.OK);
            }
        } else if (reply.outcome() == Relay.Outcome.OK) {
            journal.noteLateDelivery(tracked.journalEntry);
        }
        enqueue(new Relay.AttemptEnded(tracked.message.id(), attempt, host.id, reply.outcome(), ended,
            reply.retryAfterMicros(), reply.latencyMicros(), reply.remainingShare(),
            reply.rateLimitPerSecond()));
        removeWhenDone(tracked);
    }

    /** Lets nothing be sent any more to where a wait that a host asks for applies. */
    private void applyWait(HostList.Host host, long waitMicros) {
        persistWait(host, waitMicros);
        sendGuard.recordWait(host, hasIndependentEndpoints(host), moduleNow(), waitMicros);
        // Calls that still wait for a connection must not be sent.
        (hasIndependentEndpoints(host) ? List.of(host) : hosts.hostsOf(host.destination))
            .forEach(pool::cancelUnsent);
    }

    /** Records a wait that a host asks for during the handover: it binds the next process too. */
    private void persistWait(HostList.Host host, long waitMicros) {
        if (handingOver) {
            try {
                journal.waits(host.name, clock.millis() + waitMicros / 1_000 + 1);
            } catch (IOException e) {
                journalHealth.writeFailed(
                    "Retry-After of " + host.name + " not passed on to the next process", e);
            }
        }
    }

    /**
     * Records that an attempt was not executed.
     *
     * @param unmade this machine had no socket for it, so it was not even made
     */
    private void journalNotRun(TrackedMessage tracked, int attempt, boolean unmade) {
        try {
            if (unmade) {
                journal.recordNotMade(tracked.journalEntry, attempt);
            } else {
                journal.recordNotRun(tracked.journalEntry, attempt);
            }
        } catch (IOException e) {
            // After a restart the attempt counts as possibly executed, which is safe.
            journalHealth.writeFailed("outcome of message " + tracked.message.id() + " not recorded", e);
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    /** Ends a message as the module has decided. */
    private void endMessage(String id, Journal.End end) {
        TrackedMessage tracked = messages.get(id);
        if (tracked != null && !tracked.ended) {
            if (tracked.untried) {
                recoverySummary.countEndedUntried(end.refused(), tracked.message.deadline() < startMillis);
            }
            markEnded(tracked);
            endMessage(tracked.journalEntry, end);
        }
    }

    /** Hands a message over to the next process, which reads that from the journal. */
    private void passToNextProcess(String id) {
        TrackedMessage tracked = messages.get(id);
        if (tracked != null && !tracked.ended) {
            if (tracked.untried) {
                recoverySummary.countPassedOn();
            }
            markEnded(tracked);
            try {
                journal.passOn(tracked.journalEntry);
            } catch (IOException e) {
                journalHealth.writeFailed("message " + id + " is not handed over until this process ends", e);
            }
        }
    }

    /** Records a message's end in the journal and posts the notice of it to the platform. */
    private void endMessage(Journal.Entry entry, Journal.End end) {
        TRACE.debug("{} end decided: {}, {} ms left", entry.message.id(), end,
            entry.message.deadline() - clock.millis());
        if (entry.end != null) {
            reportViolation(Violation.ENDED_TWICE, entry.message.id());
        }
        try {
            journal.recordEnd(entry, end);
        } catch (IOException e) {
            journalHealth.writeFailed(
                "end of message " + entry.message.id() + " not recorded, notice sent anyway", e);
        }
        discovery.postNotice(entry);
    }

    /** Marks a message as ended; it is forgotten once none of its attempts is outstanding. */
    private void markEnded(TrackedMessage tracked) {
        tracked.ended = true;
        openMessages--;
        removeWhenDone(tracked);
    }

    /**
     * Forgets a message, after the current turn, if it has ended and has no outstanding attempt. The module
     * may name a message until its last attempt has ended; and the current turn may still contain a send of a
     * message that ends in this turn, and the module must be notified of the end of that attempt.
     */
    private void removeWhenDone(TrackedMessage tracked) {
        eventLoop.execute(() -> {
            if (tracked.ended && tracked.outstandingAttempts == 0) {
                messages.remove(tracked.message.id(), tracked);
            }
        });
    }

    /**
     * The platform has acknowledged the notice of a message's end: counts it and closes the journal's entry.
     */
    private void endAcknowledged(Journal.Entry entry) {
        long late = clock.millis() - entry.message.deadline();
        TRACE.debug("{} end acknowledged, {} ms left", entry.message.id(), -late);
        if (late > MAX_END_DELAY_MS && clock.millis() - startMillis > START_GRACE_MS) {
            reportViolation(Violation.ENDED_LATE, entry.message.id());
        }
        if (entry.end.refused()) {
            metrics.countRejected(entry.message.messageClass());
        } else {
            metrics.countFailed(entry.message.messageClass());
        }
        closeEntry(entry);
    }

    /** Counts and closes a message that is over by the answer of an endpoint: delivered, or expired. */
    private void closeAnswered(TrackedMessage tracked, boolean delivered) {
        if (delivered) {
            metrics.countCompleted(tracked.message.messageClass());
        } else {
            // The message's deadline passed before it reached the host.
            metrics.countFailed(tracked.message.messageClass());
        }
        closeEntry(tracked.journalEntry, delivered);
    }

    /** Records that nothing more is to be done for a message that was not delivered. */
    private void closeEntry(Journal.Entry entry) {
        closeEntry(entry, false);
    }

    private void closeEntry(Journal.Entry entry, boolean delivered) {
        try {
            if (delivered) {
                journal.recordDelivered(entry);
            } else {
                journal.recordClosed(entry);
            }
        } catch (IOException e) {
            journalHealth.writeFailed(
                "message " + entry.message.id() + " would be recovered again after a restart", e);
        }
    }

    // ---- List -----------------------------------------------------------------------------------
    /**
     * Passes a list update to the module, and the recorded health of hosts that the list names only now. For
     * hosts that are not ready any more, cancels the calls still waiting for a connection and closes the idle
     * connections.
     */
    private void listUpdated(HostList.Change change) {
        enqueue(change.event());
        if (!unlistedHealth.isEmpty()) {
            List<Journal.EndpointHealth> again = List.copyOf(unlistedHealth.values());
            unlistedHealth.clear();
            again.forEach(this::restoreHealth);
        }
        for (HostList.Host host : change.unavailable()) {
            pool.cancelUnsent(host);
            pool.closeIdle(host);
        }
    }
}
