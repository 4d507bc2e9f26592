package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/** What {@link Control} remembers: plain records of fact and containers. Nothing here decides. */
final class State {
    private State() { }

    /** What an entry of the agenda is for. */
    enum Duty { DEADLINE, COPY, LOOK, KEY, FORGET }

    /** Something due at a time; entries of one time keep their order. */
    record Entry(long at, long seq, Duty duty, Object of) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(seq, other.seq);
        }
    }

    /** One message: waiting in a band, parked behind its key, in flight, or ended. */
    static final class Msg {
        String id;
        Relay.MessageClass cls;
        Dest dest;
        Key key;
        long deadline, aim;
        int band, extras, open;
        /** {@code owed}: taken up after a restart and not tried since it was taken on. */
        boolean queued, ended, halving, owed;
        double full;
        final List<Attempt> attempts = new ArrayList<>(2);

        /** True when some attempt is out or may have taken effect. */
        boolean mayHaveRun() {
            for (Attempt a : attempts) {
                if (a.maybeRan) {
                    return true;
                }
            }
            return false;
        }

        /** Worth of delivering at a time, as the settings of its class and the tenant's share have it. */
        double worth(long when) {
            if (when <= aim) {
                return full;
            }
            if (when > deadline) {
                return 0;
            }
            if (halving) {
                return full * Math.max(cls.lateWorth(), Math.pow(0.5, (double) (when - aim) / cls.aim()));
            }
            double part = (double) (when - aim) / Math.max(1, deadline - aim);
            return full * (1 - part * (1 - cls.lateWorth()));
        }

        /** Attempts that count against those it has. */
        int tries() {
            int n = 0;
            for (Attempt a : attempts) {
                n += a.unmade ? 0 : 1;
            }
            return n;
        }

        int tries(Route route) {
            int n = 0;
            for (Attempt a : attempts) {
                n += a.route == route ? 1 : 0;
            }
            return n;
        }
    }

    /** One send of a message. {@code maybeRan} holds until its outcome proves otherwise. */
    static final class Attempt {
        Msg msg;
        Route route;
        Call call;
        /** {@code idle}: how long its connection had been idle; -1 for a new one. */
        long sent, idle = -1;
        boolean done, cancelled, trial, again, overdue, maybeRan = true;
        /** The relay's own machine failed: it was never made. */
        boolean unmade;
    }

    /** What holds one slot: one message, or a bundle. */
    static final class Call {
        int open, size;
        /** The latest outcome that was learned from it. */
        Relay.Outcome learned;
    }

    /** Messages that share a key, in the order in which they were taken. */
    static final class Key {
        String name;
        long restUntil;
        final ArrayDeque<Msg> line = new ArrayDeque<>();
    }

    /** Waiting messages of one sort: inside their aim, and past it; ones no longer queued are skipped. */
    static final class Band {
        final ArrayDeque<Msg> fresh = new ArrayDeque<>(), late = new ArrayDeque<>();

        static Msg first(ArrayDeque<Msg> line) {
            while (!line.isEmpty() && !line.peekFirst().queued) {
                line.pollFirst();
            }
            return line.peekFirst();
        }

        static Msg last(ArrayDeque<Msg> line) {
            while (!line.isEmpty() && !line.peekLast().queued) {
                line.pollLast();
            }
            return line.peekLast();
        }

        /** Takes out a message that stands at the head of the fresh or the tail of the late. */
        void remove(Msg m) {
            if (fresh.peekFirst() == m) {
                fresh.pollFirst();
            } else if (late.peekLast() == m) {
                late.pollLast();
            }
        }
    }

    /** A token bucket, full at its first use. */
    static final class Bucket {
        double tokens = Double.MAX_VALUE;
        private long filled;

        void fill(double perSecond, double most, long now) {
            tokens = Math.min(most, tokens + perSecond * (now - filled) / 1e6);
            filled = now;
        }

        boolean take() {
            boolean enough = tokens >= 1;
            tokens -= enough ? 1 : 0;
            return enough;
        }
    }

    /** What a limit and a wait belong to: a destination, or one route where routes are apart. */
    static final class Lane {
        final Bucket bucket = new Bucket();
        /** {@code met}: the pace at which the limit was last met, at {@code metAt}. */
        double weight, pace, met;
        long waitUntil, backoffUntil, metAt;
        /** Its calls, and those of them that delivered. */
        final Rate sent = new Rate(), carried = new Rate();
        /** Of its latest outage and the return from it; null before the first. */
        SlowStart slowStart;
    }

    /** Points in time, in order. */
    static final class Times {
        private final ArrayDeque<Long> times = new ArrayDeque<>(2);

        void add(long time) {
            times.addLast(time);
        }

        int size() {
            return times.size();
        }

        void forgetUpTo(long time) {
            while (!times.isEmpty() && times.peekFirst() <= time) {
                times.pollFirst();
            }
        }

        /** The earliest time, from now on, at which fewer than so many lie within the span up to it. */
        long fewerThan(int most, long now, long span) {
            forgetUpTo(now - span);
            int over = times.size() - most;
            return over < 0 ? now : times.stream().skip(over).findFirst().orElseThrow() + span;
        }
    }

    /** Counts what happens over an exponential span. */
    static final class Rate {
        private double counted;
        private long countedAt, firstAt = -1;

        void mark(long now, long span) {
            counted = counted(now, span) + 1;
            countedAt = now;
            firstAt = firstAt < 0 ? now : firstAt;
        }

        /** How many of late: each counts the less, the longer ago it was. */
        double counted(long now, long span) {
            return counted * Math.exp((double) (countedAt - now) / span);
        }

        /** How long ago the first was counted; 0 before that. */
        long age(long now) {
            return firstAt < 0 ? 0 : now - firstAt;
        }

        /** How many a second of late; the span may be longer than it has counted. */
        double perSecond(long now, long span) {
            return perSecond(now, span, 1);
        }

        /** The same, taken to have counted for some time at least: a first one or two make no rate. */
        double perSecond(long now, long span, long leastAge) {
            long age = Math.max(leastAge, now - firstAt);
            return counted(now, span) * 1e6 / (span * -Math.expm1(-(double) age / span));
        }
    }

    /** One endpoint: its standing, health and connections. */
    static final class Route {
        long id;
        int zone, kind;
        Dest dest;
        Lane lane;
        /** {@code avoided}: counted among those that the list calls ready and that are out. */
        /** {@code timedOut}: its latest failure was a time-out. */
        boolean ready, confirmed, avoided, timedOut;
        Relay.Health health = Relay.Health.GOOD;
        int inflight, failRun, trials, overdue;
        /** Attempts in a row for which this machine had no socket. */
        int unopened;
        double latency, failing;
        /** {@code trialAt}: when the latest call went out while it was out. */
        long backoffUntil, lastOk, lastOkSent = -1, outSince, returnAt, trialAt;
        final ArrayDeque<Long> idle = new ArrayDeque<>(2);
        Call bundle;
        /** {@code goneAt}: -1 while it is not off the list. */
        long bundleTurn = -1, goneAt = -1;

        /** When the told wait and the back-offs are over. */
        long closedUntil() {
            return Math.max(Math.max(backoffUntil, dest.backoffUntil),
                Math.max(lane.waitUntil, lane.backoffUntil));
        }

        /** True when a connection idle since no earlier than that is left. */
        boolean warm(long since) {
            while (!idle.isEmpty() && idle.peekFirst() <= since) {
                idle.pollFirst();
            }
            return !idle.isEmpty();
        }
    }

    /**
     * One destination: its routes, waiting messages, window and answers. A fleet's relay meets most of them
     * now and then with one message, so what holds many is made as it is first needed.
     */
    static final class Dest {
        final long id;
        final Map<Long, Route> routes = new TreeMap<>();
        /** Messages taken up untried, the one whose time is up first ahead; null before the first. */
        private PriorityQueue<Msg> owed;
        /** Null where no message of that sort has waited yet. */
        Band[] bands;
        final Answers answers;
        Lane shared;
        /** Messages that come in for it. */
        private final Rate accepted = new Rate();
        /** Messages a second that come in for it, when the last one came. */
        double usualRate;
        double window = 1, copies = 1, latest, usual;
        /** {@code elsewhere}: calls that the process before this one still has out. */
        int kind = -1, calls, elsewhere, waiting, overdue, refusals;
        /** Messages that are not settled, and routes that are off the list and not forgotten. */
        int held, gone;
        long lookAt, refusedAt, backoffUntil, usedAt;

        Dest(long id, int bands, int answers) {
            this.id = id;
            this.bands = new Band[bands];
            this.answers = new Answers(answers);
        }

        void owe(Msg m) {
            if (owed == null) {
                owed = new PriorityQueue<>(Comparator.comparingLong(other -> other.deadline));
            }
            owed.add(m);
        }

        /** The first of those taken up untried that still waits; null when there is none. */
        Msg owed() {
            if (owed == null) {
                return null;
            }
            while (!owed.isEmpty() && !(owed.peek().queued && owed.peek().owed)) {
                owed.poll();
            }
            return owed.peek();
        }

        /** True when a route answers and is not in slow start. */
        boolean sound() {
            return routes.values().stream().anyMatch(r -> r.health == Relay.Health.GOOD);
        }

        /** Routes of a lane that are out or returning. */
        long coldRoutes(Lane lane) {
            return routes.values().stream()
                .filter(r -> r.lane == lane && r.health != Relay.Health.GOOD).count();
        }

        /** Makes room for the bands of further classes. */
        void widen(int most) {
            bands = Arrays.copyOf(bands, most);
        }

        Band band(int sort) {
            bands[sort] = bands[sort] == null ? new Band() : bands[sort];
            return bands[sort];
        }

        /** Counts a message into the rate over an exponential span; {@code age}: counted how long. */
        void mark(long now, long span, long age) {
            accepted.mark(now, span);
            usualRate = accepted.perSecond(now, span, age);
        }
    }

    /** The times of the most recent answers. */
    static final class Answers {
        private static final int FIRST = 4;
        private final int size;
        /** Grows up to the size. */
        private long[] ring = {};
        private long[] sorted = {};
        int count;

        Answers(int size) {
            this.size = size;
        }

        void add(long time) {
            if (count == ring.length && count < size) {
                ring = Arrays.copyOf(ring, Math.min(size, Math.max(FIRST, 2 * count)));
            }
            ring[count++ % size] = time;
            sorted = null;
        }

        /** The time above this share of the answers held. */
        long rank(double share) {
            if (sorted == null) {
                sorted = Arrays.copyOf(ring, Math.min(count, ring.length));
                Arrays.sort(sorted);
            }
            return sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length))];
        }
    }
}
