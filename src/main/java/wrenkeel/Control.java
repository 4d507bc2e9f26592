package wrenkeel;

import java.util.*;
import wrenkeel.Relay.*;
import wrenkeel.State.*;

/**
 * All decisions of one relay. The interface (settings, events, actions) is in Relay.java.
 *
 * <p>Feed {@link #turn} with the time and events; carry out what it returns, in order. One thread.
 *
 * <p>Sections: tuned values; state; events; message life; dispatch and the send gate; copies; window and
 * pace; health and slow start ({@link SlowStart}); list of endpoints; clockwork. The ordinary path is
 * speculative execution: docs/design.md tells what is kept, added and excepted.
 */
public final class Control {
    // ---- Tuned values ---------------------------------------------------------------------------
    private static final long MS = 1_000L, SECOND = 1_000_000L, NEVER = Long.MAX_VALUE;
    /** us; copy delay until a destination's answers are known (the design's figure). */
    private static final long FIRST_DELAY = 200 * MS;
    /** Share of recent answers below the copy delay; the design asks for about nine in ten. */
    private static final double DELAY_RANK = 0.95;
    /** Answers remembered for the delay (a tail, yet it follows), and how many make it known. */
    private static final int ANSWERS = 48, KNOWN = 8;
    /** Extra executions of one message; the source's example uses one. */
    private static final int EXTRAS = 1;
    /** Calls a limit must have left for a copy; copies earned by a send, and saved: no pile-up. */
    private static final double COPY_ROOM = 2, COPY_SHARE = 0.05, COPY_SAVED = 2;
    /** Share of the slots that one destination's window may reach; and while it fails or is slow. */
    private static final double WINDOW_SHARE = 0.75, WINDOW_POOR = 0.3;
    /** A destination is slow when its latest answers take this multiple of the usual. */
    private static final double SLOW = 2.5;
    /** Weights of a new answer in the latest and the usual time. */
    private static final double LATEST = 0.3, USUAL = 0.03;
    /** us; time-out: a multiple of the copy delay, its bounds, and one until answers are known. */
    private static final double PATIENCE = 4.5;
    private static final long PATIENCE_LEAST = 3 * SECOND / 2, PATIENCE_MOST = 6 * SECOND,
        PATIENCE_FIRST = 3 * SECOND;
    /** Longer time-outs where one loses the message. */
    private static final double PATIENCE_UNSAFE = 3;
    /** Priority: weight of the worth lost by another second of waiting against the worth itself. */
    private static final double URGENCY = 2;
    /** us; endpoint choice: price of opening a connection, of one point of fee, of each failure in a row. */
    private static final long COST_CONNECT = 100 * MS, COST_POINT = 50 * MS, COST_FAILURE = 2 * SECOND;
    /** Pace: most over the listed rate, cut at a refusal, growth at an answer, least of an even split. */
    private static final double PACE_MOST = 1.4, PACE_CUT = 0.75, PACE_GROW = 0.2, PACE_LEAST = 0.5,
        PACE_START = 2;
    /** Calls a second: rate where none is listed; slowest pace (less would be a ban) of few; no rate. */
    private static final double UNLISTED = 1e6, PACE_SLOWEST = 0.25, RATE_LEAST = 1e-6;
    /** Calls a second of all relays together to a place not met yet, and to one that takes bundles. */
    private static final double START_TOGETHER = 40, START_BUNDLES = 20;
    /** Calls, and one for each relay, over which the pace is regained; bounds of that span (us). */
    private static final double PROBE_CALLS = 3;
    private static final long PROBE_LEAST = SECOND / 4, PROBE_MOST = 6 * SECOND;
    /** Relays that may each insist on a pace of what comes in to them. */
    private static final double INSISTENT = 3;
    /** Drop of the pace where the limit is met; share of the limit left when met again at once. */
    private static final double PACE_DIP = 0.3, LIMIT_DROP = 0.7;
    /** The pace stays under this multiple of what has been carried. */
    private static final double PACE_AHEAD = 2;
    /** us; span over which a lane's own calls are counted. */
    private static final long PACE_SPAN = 3 * SECOND;
    /** s; a lane may send this much of its pace at once. */
    private static final double PACE_BURST = 0.7;
    /** Calls that a lane of any pace may save up: the first of a message, and one more if that is refused. */
    private static final double BURST_LEAST = 2;
    /** Share of the limit left below which the pace gives way, and the pace's steps. */
    private static final double LEFT_LOW = 0.15, LEFT_CUT = 0.9;
    /** Share of calls after a refusal that get in (by kind): least counted, weight of a new one, usual. */
    private static final double EASE_LEAST = 0.03, EASE_WEIGHT = 0.1, EASE_USUAL = 0.3;
    /** First back-off after a refusal or failed connect, in us and own gaps; growth up to the longest. */
    private static final double BACKOFF_GROW = 3, BACKOFF_GAPS = 0.5, BACKOFF_MOST_GAPS = 10;
    private static final long BACKOFF = 500 * MS, BACKOFF_LEAST = 150 * MS,
        BACKOFF_MID = 2 * SECOND, BACKOFF_MOST = 8 * SECOND;
    /** Shut rather than full: a told wait (us) past any limit span, or so many back-offs in a row. */
    private static final long SHUT_TOLD = 5 * SECOND / 2, SHUT_RUN = 3;
    /** Failures in a row, or a share of recent calls, that mean an outage; a new outcome's weight. */
    private static final int OUTAGE_RUN = 3;
    private static final double OUTAGE_SHARE = 0.6, OUTCOME_WEIGHT = 0.2;
    /** us; a route that answered within this is not yet taken for failing. */
    private static final long SILENT = 700 * MS;
    /** us; a sibling of a failing route that answered a call sent this long before is not suspected. */
    private static final long SUSPECT = 500 * MS;
    /** us; span over which a relay measures its own usual rate to a destination. */
    private static final long RATE_SPAN = 15 * SECOND, RATE_AGE = 3 * SECOND;
    /** A connection stays open where this many uses are expected while connections of its kind are held. */
    private static final double KEEP_USES = 0.5;
    /** The span for which they are held: its cut at a failed connect, its growth at an answer. */
    private static final double HOLD_CUT = 0.5, HOLD_GROW = 1.02;
    /** us; and the least: one used again sooner harms nobody, and an outage fails connects without end. */
    private static final double HOLD_LEAST = 2 * SECOND;
    /** us; least idle time for which a connection may be taken for dropped; trust per idle time proven. */
    private static final double TRUST_LEAST = 250 * MS, TRUST_PROVEN = 1.25;
    /** us; least gap between trials of a route; a suspicion cleared within this leaves no slow start. */
    private static final long TRIAL_GAP = 400 * MS, SUSPICION = 2 * SECOND;
    /** us; a route not heard from for so long before a trial may have been out all the time. */
    private static final long UNHEARD = 5 * SECOND;
    /** Part of what comes in that a relay may send to a cold lane to which it carried less before. */
    private static final double QUIET_PART = 0.5;
    /** s; a tenant inside its share may run ahead of it by this much. */
    private static final double SHARE_BURST = 2;
    /** us; a waiting message is looked at again at least this often while its lane is limited. */
    private static final long RECHECK = 500 * MS;
    /** us; at a start, nothing is sent by an old list while a newer one may still come within this. */
    private static final long LIST_WAIT = SECOND;
    /** us; an endpoint off the list is forgotten after this: past any wait or warm-up. */
    private static final long FORGET = 600 * SECOND;
    /** us; a destination stays known for so long after its last use, or past any warm-up and window. */
    private static final long OF_USE = 60 * SECOND;
    /** Destinations known at once beyond which only warm-ups and windows keep a quiet one. */
    private static final int KNOWN_MOST = 4_096;
    /** us; first back-off of a route for which this machine had no socket; so many in a row are its fault. */
    private static final long UNOPENED_GAP = 50 * MS;
    private static final int UNOPENED_MOST = 6;

    // ---- State ----------------------------------------------------------------------------------
    private record Pick(Message msg, EndpointState route, double priority) { }

    private Settings set;
    private final SplittableRandom random;
    private final Map<String, Message> messages = new HashMap<>();
    private final Map<String, OrderingKey> keys = new HashMap<>();
    private final Map<Long, Destination> dests = new TreeMap<>();
    private final Map<Long, EndpointState> routes = new TreeMap<>();
    private final Set<Destination> active = new LinkedHashSet<>();
    /** All destinations, the one used last at the end. */
    private final Set<Destination> used = new LinkedHashSet<>();
    /** Of destinations released before their bucket was full again: when it is. */
    private final Map<Long, Long> spent = new LinkedHashMap<>();
    private TokenBucket[] shares;
    /** us, by kind: how long idle connections are held (endpoints may take few), and trusted to be alive. */
    private final double[] holds, trusts;
    private final double[] eases;
    private final PriorityQueue<TimerEntry> agenda = new PriorityQueue<>();
    private List<Action> out = new ArrayList<>();
    private long now, beganAt, seq, turns, wakeAt = NEVER, listBy = Long.MIN_VALUE;
    private int slotsUsed, elsewhere, open, avoided;
    private boolean leaving, releasing, storageDown;

    /** A relay that knows nothing yet but its settings. */
    public Control(long seed, Settings settings) {
        set = Objects.requireNonNull(settings, "settings");
        random = new SplittableRandom(seed);
        shares = new TokenBucket[set.tenants().size()];
        Arrays.setAll(shares, i -> new TokenBucket());
        holds = new double[set.kinds().size()];
        Arrays.fill(holds, set.limits().keepAlive());
        trusts = holds.clone();
        eases = new double[holds.length];
        Arrays.fill(eases, 1);
    }

    // ---- Events ---------------------------------------------------------------------------------
    /** One turn: the time, which never goes back, and the events since the last. Returns what to do. */
    public List<Action> turn(long time, List<Event> events) {
        Objects.requireNonNull(events, "events");
        if (turns > 0 && time < now) {
            throw new IllegalArgumentException("clock went back from " + now + " to " + time);
        }
        now = time;
        beganAt = turns++ == 0 ? now : beganAt;
        out = new ArrayList<>();
        for (Event event : events) {
            take(Objects.requireNonNull(event, "event"));
        }
        // Only now: what the turn tells of later may have made room, or have ended the message given back.
        for (int over = open - set.limits().maxOpenMessages(); over >= 0; over--) {
            shed();
        }
        runAgenda();
        dispatch();
        if (releasing) {
            // Only now: a message of this very turn may be a destination's first for long.
            releasing = false;
            release();
        }
        arm();
        return out;
    }

    /** How many endpoints that the list calls ready are out; a pause for a limit does not count. */
    public int unavailableEndpoints() {
        return avoided;
    }

    private void take(Event event) {
        if (event instanceof MessageAccepted e) {
            accept(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof ListUpdated e) {
            listed(e);
        } else if (event instanceof DestinationIntroduced e) {
            e.endpoints().forEach(p -> listed(p, true));
        } else if (event instanceof ReleaseRequested) {
            releasing = true;
        } else if (event instanceof SettingsChanged e) {
            retune(e.settings());
        } else if (event instanceof ListRequested) {
            listBy = now + LIST_WAIT;
        } else if (event instanceof HandoverStarted) {
            leaving = true;
            messages.values().stream().filter(m -> m.queued).toList().forEach(this::pass);
        } else if (event instanceof EndpointSnapshot e) {
            known(e);
        } else if (event instanceof ExternalCalls e) {
            Destination d = dest(e.destination());
            elsewhere += e.calls() - d.externalCalls;
            d.externalCalls = e.calls();
            active.add(d);
        } else if (event instanceof MessageWithdrawn e && messages.containsKey(e.id())) {
            close(messages.get(e.id()));
        } else if (event instanceof StorageChanged e) {
            storageDown = !e.writable();
            dests.values().stream().filter(d -> d.waitingMessages > 0).forEach(active::add);
        } else if (event instanceof TimerDue && wakeAt <= now) {
            wakeAt = NEVER;
        }
    }

    /** Other settings bind from here on; what is known of partners stays, and messages keep their class. */
    private void retune(Settings settings) {
        Map<String, TokenBucket> before = new HashMap<>();
        for (int i = 0; i < shares.length; i++) {
            before.put(set.tenants().get(i).name(), shares[i]);
        }
        set = settings;
        shares = set.tenants().stream().map(t -> before.getOrDefault(t.name(), new TokenBucket()))
            .toArray(TokenBucket[]::new);
        for (Destination d : dests.values()) {
            d.growQueues(set.classes().size() * 3);
            active.add(d);
        }
    }

    // ---- Message life ---------------------------------------------------------------------------
    private void accept(MessageAccepted e) {
        if (messages.containsKey(e.id())) {
            return;
        }
        Message m = new Message();
        m.id = e.id();
        m.messageClass = set.classes().get(e.messageClass());
        m.lateWorthHalves = set.lateWorthHalves();
        m.destination = dest(e.destination());
        m.destination.unsettledMessages++;
        if (!e.recovered()) {
            // What is taken up has come in over seconds, and tells nothing of what comes in now.
            m.destination.recordAccepted(now, RATE_SPAN, Math.max(RATE_AGE, now - beganAt));
        }
        m.deadline = e.deadline();
        m.aim = m.deadline + e.answerReserve() - m.messageClass.lifetime() + m.messageClass.aim();
        // What is taken up counted against the share when it was taken on.
        boolean inShare = e.recovered() || inShare(e.tenant());
        m.queueIndex = e.messageClass() * 3 + (inShare ? 0 : 1);
        m.fullWorth = m.messageClass.worth() * (inShare ? 1 : set.overShareWorth());
        messages.put(m.id, m);
        open++;
        at(m.deadline, TimerKind.DEADLINE, m);
        if (m.messageClass.inOrder() && e.orderingKey() != null) {
            m.orderingKey = keys.computeIfAbsent(e.orderingKey(), k -> new OrderingKey());
            m.orderingKey.name = e.orderingKey();
            m.orderingKey.messages.addLast(m);
        }
        for (EarlierAttempt before : e.earlierAttempts()) {
            m.attempts.add(recovered(m, before));
        }
        m.recoveredUntried = e.recovered() && m.attempts.isEmpty();
        if (!m.attempts.isEmpty() && (m.attemptCount() >= m.messageClass.maxAttempts()
            || m.messageClass.effect() == Effect.UNSAFE && m.mayHaveRun())) {
            giveUp(m);
        } else if (m.orderingKey == null || m.orderingKey.messages.peekFirst() == m) {
            enqueue(m, false);
        }
    }

    /** An attempt made before a restart; one that was out then may have run. */
    private Attempt recovered(Message m, EarlierAttempt before) {
        Attempt a = new Attempt();
        a.message = m;
        a.endpoint = new EndpointState();
        a.endpoint.zone = before.zone();
        a.sentAt = before.sentAt();
        a.ended = true;
        a.mayHaveRun = before.mayHaveRun();
        if (a.mayHaveRun && m.orderingKey != null) {
            m.orderingKey.pausedUntil = now + set.rules().keyPause();
        }
        return a;
    }

    private boolean inShare(int tenant) {
        if (tenant >= shares.length) {
            return true;
        }
        double rate = set.tenants().get(tenant).quotaPerSecond() / set.relayCount();
        shares[tenant].refill(rate, rate * SHARE_BURST, now);
        return shares[tenant].tryTake();
    }

    private void enqueue(Message m, boolean again) {
        if (leaving) {
            pass(m);
            return;
        }
        if (m.messageClass.effect() == Effect.KEYED && m.mayHaveRun()) {
            m.queueIndex = m.queueIndex / 3 * 3 + 2;
        }
        m.queued = true;
        m.destination.waitingMessages++;
        active.add(m.destination);
        if (m.recoveredUntried) {
            m.destination.addRecovered(m);
        } else if (again) {
            m.destination.queue(m.queueIndex).onTime.addFirst(m);
        } else {
            m.destination.queue(m.queueIndex).onTime.addLast(m);
        }
    }

    /** Nothing of it is out: the next process decides from here on, and the next of its key may follow it. */
    private void pass(Message m) {
        out.add(new HandOver(m.id));
        close(m);
    }

    private boolean mayRefuse(Message m) {
        return m.messageClass.effect() == Effect.SAFE || !m.mayHaveRun()
            || m.messageClass.effect() == Effect.KEYED && !m.messageClass.dedupPerZone();
    }

    /** Ends a message for want of a better answer: handed back where the rules allow it, else failed. */
    private void giveUp(Message m) {
        if (m.ended) {
            return;
        }
        out.add(mayRefuse(m) && now < m.deadline ? new Refuse(m.id, comeBack(m.destination)) : new Fail(m.id));
        close(m);
    }

    /** When to hand a refused message in again: once a route is open and those that wait have gone. */
    private long comeBack(Destination d) {
        long opens = d.endpoints.values().stream().mapToLong(EndpointState::unavailableUntil).min().orElse(now);
        long queue = (long) (d.waitingMessages / d.window * Math.max(d.recentLatency, FIRST_DELAY));
        return Math.min(set.limits().maxRetryAfter(), Math.max(opens - now, queue));
    }

    /** The message is over: nothing more goes out for it, and copies still out are called off. */
    private void close(Message m) {
        open -= m.ended ? 0 : 1;
        m.ended = true;
        m.destination.waitingMessages -= m.queued ? 1 : 0;
        m.queued = false;
        for (int i = 0; i < m.attempts.size(); i++) {
            Attempt a = m.attempts.get(i);
            if (!a.ended && !a.cancelled && set.limits().cancelAllowed()) {
                a.cancelled = true;
                out.add(new CancelAttempt(m.id, i));
            }
        }
        settle(m);
    }

    /** Forgets an ended message once its last attempt is known, and lets the next of its key go. */
    private void settle(Message m) {
        if (!m.ended || m.openAttempts > 0) {
            return;
        }
        m.destination.unsettledMessages -= messages.remove(m.id) == null ? 0 : 1;
        if (m.orderingKey != null) {
            advance(m.orderingKey);
        }
    }

    private void advance(OrderingKey key) {
        while (!key.messages.isEmpty() && key.messages.peekFirst().ended && key.messages.peekFirst().openAttempts == 0) {
            key.messages.pollFirst();
        }
        Message head = key.messages.peekFirst();
        boolean idle = head == null || !head.ended && !head.queued && head.openAttempts == 0;
        if (idle && key.pausedUntil > now) {
            at(key.pausedUntil, TimerKind.ORDERING_KEY, key);
        } else if (head == null) {
            keys.remove(key.name);
        } else if (idle) {
            enqueue(head, false);
        }
    }

    private void attemptEnded(AttemptEnded e) {
        Message m = messages.get(e.id());
        if (m == null || e.attempt() < 0 || e.attempt() >= m.attempts.size()
            || m.attempts.get(e.attempt()).ended) {
            return;
        }
        Attempt a = m.attempts.get(e.attempt());
        a.ended = true;
        a.mayHaveRun = !e.outcome().provesNotExecuted();
        a.failedLocally = e.outcome().isLocalFailure();
        m.openAttempts--;
        free(a);
        observe(a, e);
        if (m.orderingKey != null && (e.outcome() == Outcome.TIMEOUT || e.outcome() == Outcome.RESET
            || e.outcome() == Outcome.CANCELLED)) {
            m.orderingKey.pausedUntil = now + set.rules().keyPause();
        }
        if (!m.ended && (e.messageOver() || e.outcome() == Outcome.OK)) {
            close(m);
        } else if (!m.ended && m.openAttempts == 0) {
            afterFailure(m);
        } else {
            settle(m);
        }
    }

    /** No attempt is out and none has delivered: wait for another, or end. */
    private void afterFailure(Message m) {
        boolean spent = m.attemptCount() >= m.messageClass.maxAttempts() || now >= m.deadline;
        if (spent || m.messageClass.effect() == Effect.UNSAFE && m.mayHaveRun()) {
            giveUp(m);
        } else {
            enqueue(m, true);
        }
    }

    private void free(Attempt a) {
        EndpointState r = a.endpoint;
        touch(r.destination);
        r.inFlight--;
        if (--a.call.openAttempts == 0) {
            slotsUsed--;
            r.destination.openCalls--;
            if (!a.failedLocally) {
                r.idleSince.addLast(now);
            }
            release(r);
        }
        r.openProbes -= a.probe ? 1 : 0;
        r.overdueAttempts -= a.overdue ? 1 : 0;
        r.destination.overdueAttempts -= a.overdue ? 1 : 0;
        active.add(r.destination);
    }

    /** Guards tables of few connections, idle ones counted, against a fleet that each keeps its own. */
    private void release(EndpointState r) {
        double held = Math.min(holds[r.kind], trusts[r.kind]);
        double uses = r.destination.acceptedPerSecond / Math.max(1, r.destination.endpoints.size()) * held / SECOND;
        if (uses < KEEP_USES && r.inFlight == 0) {
            drop(r);
        }
    }

    private void drop(EndpointState r) {
        r.idleSince.clear();
        out.add(new CloseIdleConnections(r.id));
    }

    /** The hold is full: give back the waiting message that has least left to gain. */
    private void shed() {
        Message worst = null;
        double least = Double.MAX_VALUE;
        for (Destination d : dests.values()) {
            if (d.waitingMessages == 0) {
                continue;
            }
            double wait = d.waitingMessages / d.window * Math.max(d.recentLatency, FIRST_DELAY);
            for (MessageQueue band : d.queues) {
                if (band == null) {
                    continue;
                }
                Message m = MessageQueue.firstQueued(band.late) != null ? MessageQueue.firstQueued(band.late) : MessageQueue.lastQueued(band.onTime);
                double left = m != null && mayRefuse(m) ? m.worthAt(now + (long) wait) : least;
                if (left < least) {
                    least = left;
                    worst = m;
                }
            }
        }
        if (worst != null) {
            giveUp(worst);
        }
    }

    // ---- Dispatch and the send gate -------------------------------------------------------------
    /** What was taken up untried goes first: a restart must not end it without a call. */
    private double priority(Message m) {
        if (m.recoveredUntried) {
            return Double.MAX_VALUE;
        }
        long when = now + (long) m.destination.recentLatency;
        double soon = m.worthAt(when);
        return soon + URGENCY * (soon - m.worthAt(when + SECOND));
    }

    /** Sends what may go, best first. What cannot go is looked at again in time, or when something ends. */
    private void dispatch() {
        List<Pick> picks = new ArrayList<>();
        for (var it = active.iterator(); it.hasNext() && slotsUsed < slots();) {
            Pick p = pick(it.next());
            if (p != null) {
                picks.add(p);
            } else {
                it.remove();
            }
        }
        while (!picks.isEmpty()) {
            Pick best = Collections.max(picks, Comparator.comparingDouble(Pick::priority));
            picks.remove(best);
            if (gate(best.msg, best.route, false) <= now) {
                send(best.msg, best.route, false);
            }
            Pick next = slotsUsed < slots() || joins(best.route) ? pick(best.msg.destination) : null;
            if (next != null) {
                picks.add(next);
            }
        }
    }

    /** The best message of a destination that can go now, with its route; else arranges another look. */
    private Pick pick(Destination d) {
        Pick best = null;
        long look = now + RECHECK;
        for (int i = -1; i < d.queues.length; i++) {
            Message m = d.waitingMessages == 0 ? null : i < 0 ? d.firstRecovered() : head(d.queues[i]);
            double priority = m == null ? 0 : priority(m);
            if (m == null || best != null && best.priority >= priority) {
                continue;
            }
            EndpointState choice = null;
            double least = Double.MAX_VALUE;
            for (EndpointState r : d.endpoints.values()) {
                long when = gate(m, r, false);
                double cost = when <= now ? cost(m, r) : least;
                look = when <= now ? look : Math.min(look, when);
                if (cost < least) {
                    least = cost;
                    choice = r;
                }
            }
            if (choice != null) {
                best = new Pick(m, choice, priority);
            }
        }
        if (best == null && d.waitingMessages > 0 && (d.recheckAt <= now || look < d.recheckAt)) {
            d.recheckAt = look;
            at(look, TimerKind.RECHECK, d);
        }
        return best;
    }

    /** Inside the aim the oldest goes first; past it the newest, which has most worth left. */
    private Message head(MessageQueue band) {
        if (band == null) {
            return null;
        }
        for (Message m = MessageQueue.firstQueued(band.onTime); m != null; m = MessageQueue.firstQueued(band.onTime)) {
            if (now + (long) m.destination.recentLatency <= m.aim) {
                return m;
            }
            band.late.addLast(band.onTime.pollFirst());
        }
        return MessageQueue.lastQueued(band.late);
    }

    private double cost(Message m, EndpointState r) {
        double latency = r.latency > 0 ? r.latency : Math.max(r.destination.recentLatency, FIRST_DELAY);
        double points = r.zone == set.zone() ? 0 : set.costs().crossZone();
        if (set.kinds().get(r.kind).independentEndpoints() && r.zone < set.costs().zoneFees().size()) {
            points += set.costs().zoneFees().get(r.zone);
        }
        int streams = Math.max(1, set.limits().maxStreams());
        boolean warm = r.hasIdleConnection(now - set.limits().keepAlive()) || r.inFlight % streams != 0;
        return latency * (1 + r.inFlight) * (1 + 0.1 * random.nextDouble()) + (warm ? 0 : COST_CONNECT)
            + points * 100 * COST_POINT + (double) (r.consecutiveFailures + r.overdueAttempts + m.attemptCount(r)) * COST_FAILURE;
    }

    /** Guards the partners' limit on calls at once, which the process before this one may still use. */
    private int slots() {
        return set.limits().callSlots() - elsewhere;
    }

    private boolean joins(EndpointState r) {
        return r.latestCallTurn == turns && r.latestCall.messageCount < set.kinds().get(r.kind).maxMessagesPerCall();
    }

    /** The one gate of every send: when this message may go to this route; now or earlier means it may. */
    private long gate(Message m, EndpointState r, boolean copy) {
        if (storageDown || !r.ready || m.ended || m.destination != r.destination || m.attemptCount() >= m.messageClass.maxAttempts()
            || m.deadline <= now || !effectAllows(m, r, copy)) {
            return NEVER;
        }
        if (m.orderingKey != null && (m.orderingKey.messages.peekFirst() != m || m.orderingKey.pausedUntil > now && m.attempts.isEmpty())) {
            return NEVER;
        }
        boolean joins = joins(r);
        if (!joins && (slotsUsed >= slots() || r.destination.openCalls + r.destination.externalCalls >= room(r.destination))) {
            return NEVER;
        }
        return Math.max(listBy, opens(r, joins));
    }

    /** The rule on effects: where an earlier attempt may have run, only what the class allows. */
    private boolean effectAllows(Message m, EndpointState r, boolean copy) {
        if (copy ? !set.limits().copiesAllowed() || m.messageClass.effect() == Effect.UNSAFE : m.openAttempts > 0) {
            return false;
        }
        if (m.messageClass.effect() == Effect.SAFE) {
            return true;
        }
        for (Attempt a : m.attempts) {
            if (a.mayHaveRun && (m.messageClass.effect() == Effect.UNSAFE || now >= a.sentAt + m.messageClass.dedupWindow()
                || m.messageClass.dedupPerZone() && a.endpoint.zone != r.zone)) {
                return false;
            }
        }
        return true;
    }

    private void send(Message m, EndpointState r, boolean copy) {
        Attempt a = new Attempt();
        a.message = m;
        a.endpoint = r;
        a.sentAt = now;
        a.afterRefusal = r.destination.consecutiveRefusals > 0;
        if (joins(r)) {
            a.call = r.latestCall;
        } else {
            a.call = new Call();
            r.latestCall = a.call;
            r.latestCallTurn = turns;
            slotsUsed++;
            r.destination.openCalls++;
            r.limitScope.bucket.tokens--;
            r.limitScope.callRate.record(now, PACE_SPAN);
            if (!r.idleSince.isEmpty() && r.idleSince.peekLast() < now - trusts[r.kind]) {
                drop(r);
            }
            a.connectionIdleTime = r.idleSince.isEmpty() ? -1 : now - r.idleSince.pollLast();
        }
        a.call.openAttempts++;
        a.call.messageCount++;
        r.inFlight++;
        sent(r, a);
        m.attempts.add(a);
        m.openAttempts++;
        if (m.queued) {
            m.queued = false;
            m.destination.waitingMessages--;
            m.destination.queue(m.queueIndex).remove(m);
        }
        m.recoveredUntried = false;
        out.add(new Send(m.id, r.id, patience(m)));
        if (!copy) {
            m.destination.copyTokens = Math.min(COPY_SAVED, m.destination.copyTokens + COPY_SHARE);
        }
        at(now + delay(m.destination), TimerKind.COPY, a);
    }

    private long patience(Message m) {
        Destination d = m.destination;
        double base = Math.max(PATIENCE_LEAST, PATIENCE * delay(d));
        base = d.latencies.count < KNOWN ? PATIENCE_FIRST : Math.min(PATIENCE_MOST, base);
        base *= m.messageClass.effect() == Effect.UNSAFE ? PATIENCE_UNSAFE : 1;
        return Math.min(m.deadline - now, (long) base);
    }

    // ---- Copies (the design) --------------------------------------------------------------------
    /** The copy delay of a destination: above about nine in ten of its recent answers. */
    private long delay(Destination d) {
        return d.latencies.count < KNOWN ? FIRST_DELAY : d.latencies.percentile(DELAY_RANK);
    }

    /** The delay has passed with no answer: a copy to another endpoint, if there is room for one. */
    private void considerCopy(Attempt a) {
        Message m = a.message;
        if (a.ended) {
            return;
        }
        if (!a.overdue) {
            a.overdue = true;
            a.endpoint.overdueAttempts++;
            m.destination.overdueAttempts++;
        }
        if (leaving || m.ended || m.copiesSent >= EXTRAS || m.messageClass.effect() == Effect.UNSAFE
            || !set.limits().copiesAllowed()) {
            return;
        }
        EndpointState choice = null;
        // Unsent messages go first; and copies are held to a share of sends, lest an overload, in which every
        // call trips the delay, pile them onto a full destination.
        if (m.destination.waitingMessages == 0 && m.destination.copyTokens >= 1 && !slow(m.destination)) {
            double least = Double.MAX_VALUE;
            for (EndpointState r : m.destination.endpoints.values()) {
                double cost = cost(m, r);
                boolean free = gate(m, r, true) <= now && r.limitScope.bucket.tokens >= COPY_ROOM;
                if (r != a.endpoint && r.health == Health.GOOD && free && cost < least) {
                    least = cost;
                    choice = r;
                }
            }
        }
        if (choice != null) {
            m.copiesSent++;
            m.destination.copyTokens--;
            send(m, choice, true);
        }
    }

    // ---- Window and pace ------------------------------------------------------------------------
    /** Calls that a destination may have out: its window, under a cap lower while failing or slow. */
    private int room(Destination d) {
        boolean out = d.endpoints.values().stream().allMatch(r -> r.health == Health.OUT);
        boolean poor = slow(d) || 2 * d.overdueAttempts > d.openCalls || out;
        // Guards the slots against places that take calls and do not answer, before a time-out tells.
        double cap = (poor ? WINDOW_POOR : WINDOW_SHARE) * set.limits().callSlots();
        return (int) Math.max(1, Math.min(d.window, cap));
    }

    private static boolean slow(Destination d) {
        return d.baselineLatency > 0 && d.recentLatency > SLOW * d.baselineLatency;
    }

    /** Learns from how an attempt ended. */
    private void observe(Attempt a, AttemptEnded e) {
        Destination d = a.endpoint.destination;
        LimitScope lane = a.endpoint.limitScope;
        int kind = a.endpoint.kind;
        // A bundle's answer may carry a wait whatever became of this message.
        lane.retryAfterUntil = Math.max(lane.retryAfterUntil, now + e.retryAfter());
        // The messages of a bundle share one fate, which tells no more than that of a single one.
        if (a.call.lastOutcome == e.outcome()) {
            return;
        }
        a.call.lastOutcome = e.outcome();
        if (a.afterRefusal && (e.outcome() == Outcome.OK || e.outcome() == Outcome.FULL)) {
            eases[kind] += EASE_WEIGHT * ((e.outcome() == Outcome.OK ? 1 : 0) - eases[kind]);
        }
        a.endpoint.consecutiveSocketFailures = e.outcome() == Outcome.NO_SOCKET ? a.endpoint.consecutiveSocketFailures + 1 : 0;
        switch (e.outcome()) {
            case OK -> {
                answered(d, a.endpoint, e.latency());
                holds[kind] = Math.min(set.limits().keepAlive(), holds[kind] * HOLD_GROW);
                double trust = Math.max(trusts[kind] * HOLD_GROW, a.connectionIdleTime * TRUST_PROVEN);
                trusts[kind] = Math.min(set.limits().keepAlive(), trust);
                d.window = Math.min(d.window + 1, Math.max(1, WINDOW_SHARE * set.limits().callSlots()));
                succeeded(a);
            }
            case FULL -> {
                d.window = Math.max(1, d.window / 2);
                refused(lane, e.retryAfter(), a);
            }
            case TIMEOUT -> {
                d.window = Math.max(1, d.window / 2);
                doubt(a);
                failed(a);
            }
            case CONNECT_FAILED -> {
                holds[kind] = Math.max(HOLD_LEAST, holds[kind] * HOLD_CUT);
                failed(a);
                a.endpoint.backoffUntil = now + backoff(d, a.endpoint.consecutiveFailures);
            }
            case RESET -> {
                doubt(a);
                failed(a);
            }
            case ERROR -> failed(a);
            case NO_SOCKET -> unopened(a);
            default -> { }
        }
        if (e.limitPerSecond() > 0) {
            lane.weight = e.limitPerSecond();
            lane.sendRate = Math.min(lane.sendRate, e.limitPerSecond());
            if (e.remainingShare() >= 0 && e.remainingShare() < LEFT_LOW) {
                lane.sendRate = Math.max(paceLeast(lane), lane.sendRate * LEFT_CUT);
            }
        }
    }

    /** Guards a route that is well against this machine's own trouble, unless that lasts. */
    private void unopened(Attempt a) {
        if (a.endpoint.consecutiveSocketFailures >= UNOPENED_MOST) {
            failed(a);
        }
        long gap = UNOPENED_GAP << Math.min(a.endpoint.consecutiveSocketFailures, UNOPENED_MOST);
        a.endpoint.backoffUntil = Math.max(a.endpoint.backoffUntil, now + Math.min(BACKOFF, gap));
    }

    /** Guards against idle connections dropped unseen; failures in a row or on new ones tell otherwise. */
    private void doubt(Attempt a) {
        double trust = trusts[a.endpoint.kind];
        if (a.connectionIdleTime < 0) {
            trusts[a.endpoint.kind] = Math.min(set.limits().keepAlive(), trust * 2);
        } else if (a.connectionIdleTime >= TRUST_LEAST && a.endpoint.consecutiveFailures == 0 && !slow(a.endpoint.destination)) {
            trusts[a.endpoint.kind] = Math.min(trust, Math.max(TRUST_LEAST, a.connectionIdleTime / 2.0));
        }
    }

    private void answered(Destination d, EndpointState r, long latency) {
        d.latencies.add(latency);
        r.latency = r.latency == 0 ? latency : r.latency + LATEST * (latency - r.latency);
        d.recentLatency = d.recentLatency == 0 ? latency : d.recentLatency + LATEST * (latency - d.recentLatency);
        double sample = d.baselineLatency == 0 ? latency : Math.min(latency, SLOW * d.baselineLatency);
        double weight = d.latencies.count < 2 * KNOWN ? LATEST : USUAL;
        d.baselineLatency = d.baselineLatency == 0 ? latency : d.baselineLatency + weight * (sample - d.baselineLatency);
    }

    /** Listed calls a second that a lane takes from all relays together. */
    private double listedRate(LimitScope lane) {
        return set.weights() == Weights.NONE ? UNLISTED : lane.weight;
    }

    private double paceMost(LimitScope lane) {
        return PACE_MOST * listedRate(lane);
    }

    private double paceLeast(LimitScope lane) {
        return set.weights() == Weights.NONE ? Math.min(PACE_SLOWEST, 1.0 / set.relayCount())
            : Math.max(PACE_SLOWEST, PACE_LEAST * listedRate(lane) / set.relayCount());
    }

    /**
     * Where no rate is listed: back from the dip to where the limit was last met, slowly past it, then
     * faster. Refusals sum up over a fleet: the more relays, the more calls from one to the next. A limit
     * not met yet gives way to what usually comes in, and to a multiple of what it has carried.
     */
    private void regain(EndpointState r) {
        LimitScope lane = r.limitScope;
        if (set.weights() == Weights.NONE && lane.limitRate == 0) {
            int bundle = set.kinds().get(r.kind).maxMessagesPerCall();
            double start = startPace(r.kind);
            double seen = Math.max(r.destination.acceptedPerSecond / bundle, lane.callRate.perSecond(now, PACE_SPAN, PACE_SPAN));
            // After a restart all relays hold what came in meanwhile: that is no rate to begin with.
            double bound = start * Math.pow(PACE_AHEAD, (double) lane.callRate.age(now) / SECOND);
            lane.sendRate = Math.min(bound, Math.max(start, PACE_AHEAD * seen));
        } else if (set.weights() == Weights.NONE) {
            double span = (PROBE_CALLS + set.relayCount()) / lane.limitRate * SECOND;
            span = Math.max(PROBE_LEAST, Math.min(PROBE_MOST, span));
            double past = (now - lane.limitMetAt) / span - 1;
            double most = PACE_AHEAD * Math.max(lane.limitRate, lane.callRate.perSecond(now, PACE_SPAN));
            lane.sendRate = Math.min(most, lane.limitRate * (1 + PACE_DIP * past * past * past));
        }
    }

    private void refused(LimitScope lane, long told, Attempt a) {
        Destination d = a.endpoint.destination;
        if (a.sentAt >= d.lastRefusalAt) {
            d.consecutiveRefusals++;
        }
        if (set.weights() != Weights.NONE) {
            lane.sendRate = Math.max(paceLeast(lane), lane.sendRate * PACE_CUT);
        } else if (a.sentAt >= lane.limitMetAt && a.endpoint.health == Health.GOOD) {
            // What was sent of late was too much; calls already out then say nothing new, and what a cold
            // partner bears is no limit.
            double sent = Math.min(lane.sendRate, lane.callRate.perSecond(now, PACE_SPAN));
            double met = sent * (d.consecutiveRefusals > 1 ? LIMIT_DROP : 1);
            // No slower than what comes in, in full bundles: else it is the pace that makes messages late.
            // Many relays that each insist on that would run into a limit below it all the time.
            int bundle = set.kinds().get(a.endpoint.kind).maxMessagesPerCall();
            double comesIn = d.acceptedPerSecond / bundle * (bundle > 1 ? 1 : Math.min(1, INSISTENT / set.relayCount()));
            lane.limitRate = Math.max(Math.max(paceLeast(lane), comesIn), met);
            lane.limitMetAt = now;
        }
        d.lastRefusalAt = now;
        long spread = (long) (Math.min(told, BACKOFF_GAPS * SECOND / d.acceptedPerSecond) * random.nextDouble());
        spread = Math.max(spread, backoff(d, d.consecutiveRefusals - (told > 0 ? 1 : 0)));
        lane.backoffUntil = Math.max(lane.backoffUntil, now + told + spread);
        // Once all routes refused in a row, the back-off is for all: a shut place is not asked by turns.
        d.backoffUntil = d.consecutiveRefusals >= d.endpoints.size() ? lane.backoffUntil : d.backoffUntil;
        lane.bucket.tokens = Math.min(lane.bucket.tokens, 1);
        boolean unheard = d.consecutiveRefusals > 1 && a.endpoint.lastSuccessSentAt >= 0 && a.sentAt - a.endpoint.lastSuccessSentAt > UNHEARD;
        if (told > SHUT_TOLD || d.consecutiveRefusals >= SHUT_RUN || unheard || a.endpoint.health == Health.OUT) {
            outage(a.endpoint, true, HealthReason.REFUSALS);
        }
    }

    /** By this relay's own usual gap between messages there, so that a fleet's tries fit together. */
    private long backoff(Destination d, int failures) {
        double gap = SECOND / Math.max(RATE_LEAST, d.acceptedPerSecond);
        double first = Math.max(BACKOFF_LEAST, Math.min(BACKOFF, gap * BACKOFF_GAPS));
        double most = Math.max(BACKOFF_MID, Math.min(BACKOFF_MOST, gap * BACKOFF_MOST_GAPS));
        // Where limits count refused calls too, asking again keeps them shut: back off longer there.
        double ease = Math.min(1, Math.max(EASE_LEAST, eases[d.kind]) / EASE_USUAL);
        double span = Math.min(most, first * Math.pow(BACKOFF_GROW, failures - 1)) / ease;
        return failures < 1 ? 0 : (long) (span * (0.5 + random.nextDouble()));
    }

    // ---- Health and slow start ------------------------------------------------------------------
    private void succeeded(Attempt a) {
        EndpointState r = a.endpoint;
        LimitScope lane = r.limitScope;
        r.destination.consecutiveRefusals = 0;
        if (set.weights() != Weights.NONE && lane.bucket.tokens < 1) {
            double grown = lane.sendRate + PACE_GROW * paceLeast(lane);
            lane.sendRate = Math.max(lane.sendRate, Math.min(paceMost(lane), grown));
        }
        lane.deliveryRate.record(now, RATE_SPAN);
        // A quiet route sees one failure of an outage: only one that answered just before was not out.
        r.outageConfirmed |= r.health == Health.OUT
            && (a.sentAt - r.outSince > SUSPICION || a.sentAt - r.lastSuccessSentAt > UNHEARD);
        r.lastSuccessAt = now;
        r.lastSuccessSentAt = Math.max(r.lastSuccessSentAt, a.sentAt);
        r.failureShare *= 1 - OUTCOME_WEIGHT;
        if (r.health != Health.OUT || a.sentAt >= r.outSince) {
            r.consecutiveFailures = 0;
        }
        if (r.health == Health.OUT && a.sentAt >= r.outSince) {
            r.health = r.outageConfirmed ? Health.RETURNING : Health.GOOD;
            r.returnedAt = now;
            changed(r, r.outageConfirmed ? HealthReason.TRIAL_ANSWERED : HealthReason.SUSPICION_CLEARED);
        }
        note(r);
    }

    /** A failed call counts only while no call sent after it has been answered, or once failures prevail. */
    private void failed(Attempt a) {
        EndpointState r = a.endpoint;
        r.failureShare += OUTCOME_WEIGHT * (1 - r.failureShare);
        if (r.limitScope.slowStart != null) {
            r.limitScope.slowStart.discardCallsUpTo(a.sentAt);
        }
        boolean prevails = r.failureShare >= OUTAGE_SHARE;
        if (a.sentAt >= r.lastSuccessSentAt) {
            r.consecutiveFailures++;
        }
        // A busy route that fails part of its calls answers the others: no outage while answers are recent.
        boolean silent = now - r.lastSuccessAt >= SILENT;
        boolean trial = r.health == Health.OUT && a.sentAt >= r.outSince;
        r.lastFailureTimedOut = a.call.lastOutcome == Outcome.TIMEOUT;
        if (prevails || trial || silent && r.consecutiveFailures >= OUTAGE_RUN) {
            outage(r, true, trial ? HealthReason.TRIAL_FAILED : HealthReason.FAILURES);
        } else if (r.health == Health.RETURNING && a.sentAt >= r.returnedAt) {
            // It may still have been out then: what it bears grows from now on at the earliest.
            r.returnedAt = now;
            changed(r, HealthReason.FAILED_IN_SLOW_START);
        } else if (r.consecutiveFailures > 0 && silent && r.health != Health.RETURNING) {
            outage(r, false, HealthReason.SUSPECTED);
        }
    }

    /** Trials only. One failure is a suspicion, which one answer clears; an outage ends in a slow start. */
    private void outage(EndpointState r, boolean confirmed, HealthReason reason) {
        boolean wasOut = r.health == Health.OUT;
        if (!wasOut) {
            beginSlowStart(r);
            r.outageConfirmed = false;
            r.outSince = now;
        }
        r.health = Health.OUT;
        boolean newlyConfirmed = confirmed && !r.outageConfirmed;
        if (newlyConfirmed) {
            r.outageConfirmed = true;
            r.limitScope.slowStart.confirmOutage();
            note(r);
        }
        if (!wasOut || newlyConfirmed) {
            changed(r, reason);
        }
        if (newlyConfirmed) {
            suspectSiblings(r);
        }
    }

    /** Routes of a destination mostly fail together: those not heard from must answer a trial. */
    private void suspectSiblings(EndpointState r) {
        for (EndpointState other : r.destination.endpoints.values()) {
            boolean silent = other.lastSuccessSentAt < r.outSince - SUSPECT;
            if (other.limitScope == r.limitScope && other.health == Health.GOOD && silent) {
                outage(other, false, HealthReason.SIBLING_OUT);
            }
        }
    }

    /** When the route may take another message: waits, back-off, pace, trials, slow start. */
    private long opens(EndpointState r, boolean joins) {
        LimitScope lane = r.limitScope;
        long when = r.unavailableUntil();
        if (r.health == Health.RETURNING && now - r.returnedAt >= set.rules().warmUpTime()) {
            r.health = Health.GOOD;
            r.failureShare = 0;
            changed(r, HealthReason.WARM);
        }
        if (r.health == Health.OUT) {
            if (r.openProbes > 0) {
                return NEVER;
            }
            when = Math.max(when, Math.max(r.outSince, r.lastProbeAt) + TRIAL_GAP);
        }
        if (!joins && startsSlowly(r)) {
            when = Math.max(when, lane.slowStart.nextCallAt(set, callsInWindow(r), now));
        }
        regain(r);
        lane.bucket.refill(lane.sendRate, Math.max(BURST_LEAST, lane.sendRate * PACE_BURST), now);
        if (!joins && lane.bucket.tokens < 1) {
            when = Math.max(when, now + (long) ((1 - lane.bucket.tokens) / lane.sendRate * SECOND) + 1);
        }
        return when;
    }

    private static boolean startsSlowly(EndpointState r) {
        // One call that failed at once may be a stray one; one that timed out met whatever it met long ago.
        boolean suspected = r.health == Health.OUT && !r.outageConfirmed && !r.lastFailureTimedOut
            && !r.limitScope.slowStart.isOutageConfirmed();
        return r.health != Health.GOOD && !suspected;
    }

    /** Opens the account of a lane none of whose routes has been out or returning. */
    private void beginSlowStart(EndpointState r) {
        if (r.destination.unhealthyEndpoints(r.limitScope) == 0) {
            double carried = r.limitScope.deliveryRate.perSecond(now, RATE_SPAN, Math.max(RATE_AGE, now - beganAt));
            r.limitScope.slowStart = new SlowStart(carried, now, 2 * random.nextDouble());
        }
    }

    /** This relay's part of the calls that a lane bears in a window. */
    private double callsInWindow(EndpointState r) {
        boolean out = r.health == Health.OUT;
        double share = r.limitScope == r.destination.sharedScope
            ? (double) Math.max(1, r.destination.unhealthyEndpoints(r.limitScope)) / Math.max(1, r.destination.endpoints.size()) : 1;
        return r.limitScope.slowStart.callBudget(set, SlowStart.capacityShare(set.rules(), out ? 0 : now - r.returnedAt),
            (out ? QUIET_PART : 1) * r.destination.acceptedPerSecond, listedRate(r.limitScope), Math.min(1, share));
    }

    private void sent(EndpointState r, Attempt a) {
        if (a.call.messageCount == 1 && r.health != Health.GOOD) {
            r.limitScope.slowStart.recordCall(now, 0.5 + random.nextDouble());
        }
        if (r.health == Health.OUT) {
            r.openProbes++;
            r.lastProbeAt = now;
            a.probe = true;
        }
    }

    /** Keeps the count of those that are ready by the list and out. */
    private void note(EndpointState r) {
        boolean listed = r.destination.endpoints.get(r.id) == r;
        boolean avoid = listed && r.ready && r.health == Health.OUT && r.outageConfirmed;
        avoided += avoid == r.countedUnavailable ? 0 : avoid ? 1 : -1;
        r.countedUnavailable = avoid;
    }

    /** Tells of a change of a route's health, with what its slow start allows and has used. */
    private void changed(EndpointState r, HealthReason reason) {
        long since = r.health == Health.OUT ? r.outSince : r.returnedAt;
        SlowStart account = r.limitScope.slowStart;
        out.add(new HealthChanged(r.id, r.health, since, account.rateBeforeOutage(), reason,
            account.sentInWindow(now, set.rules()), callsInWindow(r)));
    }

    /**
     * What the next process must know of each listed endpoint, in this clock's time. First what binds, then
     * what was found out the hard way, for there may be no room for all of it.
     */
    public List<EndpointSnapshot> endpointSnapshots() {
        Comparator<EndpointState> first = Comparator.comparingInt(r -> r.limitScope.retryAfterUntil > now ? 0
            : r.health != Health.GOOD || r.unavailableUntil() > now ? 1 : 2);
        return routes.values().stream().sorted(first).map(this::known).toList();
    }

    private EndpointSnapshot known(EndpointState r) {
        long since = r.health == Health.OUT ? r.outSince : r.returnedAt;
        double carried = r.health == Health.GOOD ? 0 : r.limitScope.slowStart.rateBeforeOutage();
        return new EndpointSnapshot(r.id, r.limitScope.retryAfterUntil, r.unavailableUntil(), r.health, since, carried, r.limitScope.sendRate,
            r.destination.window, r.latency);
    }

    /** Goes on where the process before stood: its waits bind, and what it found out is not tried again. */
    private void known(EndpointSnapshot e) {
        EndpointState r = routes.get(e.endpoint());
        if (r == null) {
            return;
        }
        r.limitScope.retryAfterUntil = Math.max(r.limitScope.retryAfterUntil, e.waitUntil());
        r.backoffUntil = Math.max(r.backoffUntil, e.unavailableUntil());
        if (e.sendRate() > 0) {
            r.limitScope.sendRate = Math.min(r.limitScope.sendRate, e.sendRate());
            r.limitScope.limitRate = set.weights() == Weights.NONE ? e.sendRate() : 0;
            r.limitScope.limitMetAt = now;
            r.latency = e.latency();
            r.destination.recentLatency = Math.max(r.destination.recentLatency, e.latency());
            r.destination.window = Math.max(r.destination.window, e.window());
        }
        if (e.health() != Health.GOOD) {
            resume(r, e);
        }
    }

    /** An outage, or the return from one, that the process before this one knew of; never less cautious. */
    private void resume(EndpointState r, EndpointSnapshot e) {
        if (r.health == Health.OUT) {
            return;
        }
        boolean first = r.health == Health.GOOD && r.destination.unhealthyEndpoints(r.limitScope) == 0;
        if (first) {
            r.limitScope.slowStart = new SlowStart(e.carriedPerSecond(), now, 0.5 + random.nextDouble());
        }
        r.outageConfirmed = true;
        r.limitScope.slowStart.confirmOutage();
        r.returnedAt = r.health == Health.RETURNING ? Math.max(r.returnedAt, e.since()) : e.since();
        r.health = e.health();
        r.outSince = now;
        if (first) {
            r.limitScope.slowStart.assumeBudgetSpent(set, callsInWindow(r), now);
        }
        note(r);
        changed(r, HealthReason.RESTORED);
    }

    // ---- List of endpoints ----------------------------------------------------------------------
    private Destination dest(long id) {
        Destination d = dests.computeIfAbsent(id, k -> new Destination(k, set.classes().size() * 3, ANSWERS));
        touch(d);
        return d;
    }

    /** It is of use now, and stands last among those that may be released. */
    private void touch(Destination d) {
        d.lastUsedAt = now;
        used.remove(d);
        used.add(d);
    }

    private void listed(ListUpdated e) {
        if (listBy != Long.MIN_VALUE) {
            listBy = Long.MIN_VALUE;
            dests.values().stream().filter(d -> d.waitingMessages > 0).forEach(active::add);
        }
        Set<Long> named = new HashSet<>();
        for (Endpoint p : e.endpoints()) {
            named.add(p.id());
            listed(p, false);
        }
        if (e.kind() == ListKind.WHOLE) {
            routes.values().stream().filter(r -> !named.contains(r.id)).forEach(this::remove);
        }
    }

    /** {@code known}: the list may have named it for long, only the module has not heard. */
    private void listed(Endpoint p, boolean known) {
        EndpointState r = routes.get(p.id());
        if (r != null && p.listing() != Listing.GONE && r.destination.id != p.destination()) {
            remove(r);
            routes.remove(r.id);
            EndpointState moved = add(p, false);
            // A wait binds the endpoint wherever it stands.
            moved.backoffUntil = r.limitScope.retryAfterUntil;
            r = moved;
        }
        if (p.listing() != Listing.GONE) {
            r = r == null ? add(p, known) : r;
            if (r.destination.endpoints.put(r.id, r) == null && r.removedAt >= 0) {
                r.removedAt = -1;
                r.destination.removedEndpoints--;
            }
            r.ready = p.listing() == Listing.READY;
            note(r);
            r.limitScope.weight = p.weight() > 0 ? p.weight() : r.limitScope.weight;
            if (set.weights() != Weights.NONE) {
                r.limitScope.sendRate = Math.min(r.limitScope.sendRate, paceMost(r.limitScope));
            }
            active.add(r.destination);
        } else if (r != null) {
            remove(r);
        }
    }

    private EndpointState add(Endpoint p, boolean known) {
        EndpointState r = new EndpointState();
        r.id = p.id();
        r.zone = p.zone();
        r.kind = p.kind();
        r.destination = dest(p.destination());
        r.destination.kind = p.kind();
        boolean apart = set.kinds().get(p.kind()).independentEndpoints();
        r.limitScope = apart || r.destination.sharedScope == null ? new LimitScope() : r.destination.sharedScope;
        r.destination.sharedScope = apart ? r.destination.sharedScope : r.limitScope;
        if (r.limitScope.sendRate == 0) {
            r.limitScope.weight = p.weight();
            r.limitScope.sendRate = PACE_START * paceLeast(r.limitScope) / PACE_LEAST;
            if (set.relayCount() > INSISTENT) {
                // A first call of each relay at once, out of a full bucket, would be more than a place bears.
                double first = random.nextDouble();
                r.limitScope.bucket.refill(0, known ? saved(p, first) : first, now);
            }
        }
        // A new endpoint is cold, and the messages held for a failing destination would all go there at once.
        if (!r.destination.endpoints.isEmpty() && !r.destination.hasHealthyEndpoint()) {
            outage(r, true, HealthReason.NEW_AMONG_OUT);
            r.limitScope.slowStart.restartSpacing(now);
        }
        routes.put(r.id, r);
        return r;
    }

    /** What a bucket holds that has filled by the first pace since the relay began, or since it was spent. */
    private double saved(Endpoint p, double first) {
        double perMicro = startPace(p.kind()) / SECOND;
        Long whole = spent.get(p.destination());
        double saved = whole == null ? first + (now - beganAt) * perMicro
            : BURST_LEAST - (whole - now) * perMicro;
        return Math.min(BURST_LEAST, saved);
    }

    /** Calls a second of this relay to a place that has not shown its limit. */
    private double startPace(int kind) {
        return (set.kinds().get(kind).maxMessagesPerCall() > 1 ? START_BUNDLES : START_TOGETHER) / set.relayCount();
    }

    /** Takes a route off; what is known of it is kept a while: waits and health outlast a gap. */
    private void remove(EndpointState r) {
        r.ready = false;
        if (r.destination.endpoints.remove(r.id) != null) {
            r.removedAt = now;
            r.destination.removedEndpoints++;
            at(now + FORGET, TimerKind.FORGET_ENDPOINT, r);
        }
        note(r);
    }

    private void forget(EndpointState r) {
        if (r.removedAt < 0 || r.removedAt + FORGET > now) {
            return;
        }
        if (r.inFlight > 0) {
            at(now + FORGET, TimerKind.FORGET_ENDPOINT, r);
            return;
        }
        r.removedAt = -1;
        r.destination.removedEndpoints--;
        if (routes.remove(r.id, r)) {
            out.add(new EndpointForgotten(r.id));
        }
    }

    /**
     * Forgets destinations, those not used for longest first. A fleet's relay meets each of them once in
     * many minutes: what it learned then is worth nothing by the next time, and all together would not fit.
     */
    private void release() {
        spent.values().removeIf(whole -> whole <= now);
        long least = Math.max(set.rules().warmUpTime() + set.rules().overloadWindow(), set.rules().keyPause());
        for (MessageClass c : set.classes()) {
            least = Math.max(least, c.dedupWindow());
        }
        for (var it = used.iterator(); it.hasNext();) {
            Destination d = it.next();
            if (now - d.lastUsedAt <= (dests.size() > KNOWN_MOST ? least : Math.max(OF_USE, least))) {
                return;
            }
            if (!rests(d)) {
                it.remove();
                dests.remove(d.id);
                active.remove(d);
                for (EndpointState r : d.endpoints.values()) {
                    routes.remove(r.id);
                    avoided -= r.countedUnavailable ? 1 : 0;
                    r.limitScope.bucket.refill(startPace(r.kind), BURST_LEAST, now);
                    double lacks = set.relayCount() > INSISTENT ? BURST_LEAST - r.limitScope.bucket.tokens : 0;
                    if (lacks > 0) {
                        spent.merge(d.id, now + (long) (lacks / startPace(r.kind) * SECOND), Math::max);
                    }
                }
                out.add(new DestinationReleased(d.id));
            }
        }
    }

    /** True while something rests on it: a message, a wait, an outage, a warm-up, or a gone route. */
    private boolean rests(Destination d) {
        boolean rests = d.unsettledMessages > 0 || d.openCalls > 0 || d.externalCalls > 0 || d.removedEndpoints > 0;
        for (EndpointState r : d.endpoints.values()) {
            rests |= r.inFlight > 0 || r.unavailableUntil() > now
                || r.health == Health.OUT && now - d.lastUsedAt < FORGET
                || r.health == Health.RETURNING && now - r.returnedAt < set.rules().warmUpTime();
        }
        return rests;
    }

    // ---- Clockwork ------------------------------------------------------------------------------
    private void at(long when, TimerKind duty, Object of) {
        agenda.add(new TimerEntry(when, seq++, duty, of));
    }

    private void runAgenda() {
        while (!agenda.isEmpty() && agenda.peek().dueAt() <= now) {
            TimerEntry entry = agenda.poll();
            switch (entry.kind()) {
                case DEADLINE -> giveUp((Message) entry.subject());
                case COPY -> considerCopy((Attempt) entry.subject());
                case RECHECK -> active.add((Destination) entry.subject());
                case FORGET_ENDPOINT -> forget((EndpointState) entry.subject());
                case ORDERING_KEY -> advance((OrderingKey) entry.subject());
            }
        }
    }

    private static boolean stale(TimerEntry e) {
        return e.subject() instanceof Attempt a && a.ended || e.kind() == TimerKind.DEADLINE && ((Message) e.subject()).ended;
    }

    private void arm() {
        while (!agenda.isEmpty() && stale(agenda.peek())) {
            agenda.poll();
        }
        if (!agenda.isEmpty() && agenda.peek().dueAt() < wakeAt) {
            wakeAt = agenda.peek().dueAt();
            out.add(new SetTimer(Math.max(1, wakeAt - now)));
        }
    }
}
