package wrenkeel;

import java.util.List;

/**
 * The interface of {@link Control}: its settings, the events it is told and the actions it asks for.
 * Times are points of one monotonic clock and spans of it, in whole microseconds. Ids are the caller's own.
 * This file decides nothing.
 */
public final class Relay {
    private Relay() { }

    /** What a second run of the same message would do. */
    public enum Effect {
        /** May be repeated at will. */ SAFE,
        /** A repeat is dropped by the receivers of one group for a while. */ KEYED,
        /** A second run would take effect twice. */ UNSAFE
    }

    /** How one attempt ended. */
    public enum Outcome { OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT,
        /** The relay could not write the attempt down. */ NOT_JOURNALED,
        /** The relay's machine had no socket for it. */ NO_SOCKET;

        /** True when this outcome proves that the attempt had no effect. */
        public boolean provesNotExecuted() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || isLocalFailure();
        }

        /** True when the relay's own machine failed: no attempt was made, no endpoint is to blame. */
        public boolean isLocalFailure() { return this == NOT_JOURNALED || this == NO_SOCKET; }
    }

    /** Standing of an endpoint in the list; it says nothing of its health. */
    public enum Listing { READY, DRAINING, GONE }

    /** How a list of endpoints relates to the one held: changes only, or all there is. */
    public enum ListKind { CHANGES, WHOLE }

    /** One address of a destination; the weight is the listed rate in calls a second, or 1. */
    public record Endpoint(long id, int zone, int kind, long destination, Listing listing, double weight) { }

    /**
     * A class of message. {@code dedupPerZone}: repeats are dropped only by endpoints of one zone;
     * {@code maxAttempts}: attempts that its messages have.
     */
    public record MessageClass(String name, long aim, long lifetime, double worth, double lateWorth,
                               Effect effect, boolean dedupPerZone, long dedupWindow, boolean inOrder,
                               int maxAttempts) { }

    /** A tenant and its rate of messages, over all relays, that counts in full. */
    public record Tenant(String name, double quotaPerSecond) { }

    /** A kind of destination: whether its endpoints are routes apart; messages in one call at most. */
    public record Kind(boolean independentEndpoints, int maxMessagesPerCall) { }

    /** Listed weights: none, exact, or up to half too high or too low. */
    public enum Weights { NONE, NOMINAL, ROUGH }

    /** What the site lets a relay do. */
    public record Limits(int callSlots, int maxOpenMessages, boolean copiesAllowed, boolean cancelAllowed,
                          int maxStreams, long connectTimeout, long keepAlive,
                          long maxRetryAfter) { }

    /** Figures of the rules. */
    public record Rules(long drainGrace, double overloadFactor, long overloadWindow, double coldCapacity, long warmUpTime,
                        long keyPause, long answerSlack) { }

    /** Points taken off: per refused call, new connection, crossing; a fee for each zone's routes. */
    public record Costs(double refusal, double handshake, double crossZone, double waste,
                         List<Double> zoneFees) { }

    /** All that a relay is told at its start. */
    public record Settings(int rank, int relayCount, int zone, boolean lateWorthHalves, double overShareWorth,
                           Weights weights, List<MessageClass> classes, List<Tenant> tenants,
                           List<Kind> kinds, Limits limits, Rules rules, Costs costs) {
        public Settings withClasses(List<MessageClass> others) {
            return new Settings(rank, relayCount, zone, lateWorthHalves, overShareWorth, weights, others, tenants,
                kinds, limits, rules, costs);
        }
    }

    /** Something that happened. */
    public sealed interface Event { }

    /** An attempt made before a restart; {@code sentAt} may lie before this clock began. */
    public record EarlierAttempt(long sentAt, int zone, boolean mayHaveRun) { }

    /**
     * A message was taken on; exactly one final answer is owed before {@code deadline}. {@code answerReserve}: span
     * between that and the end of the message's life, which the answer needs on its way. {@code recovered}: it
     * was taken on before a restart, and {@code earlierAttempts} are its attempts so far; new ones are numbered on.
     */
    public record MessageAccepted(String id, int messageClass, int tenant, String orderingKey, long deadline, long answerReserve,
                           long destination, boolean recovered, List<EarlierAttempt> earlierAttempts) implements Event {
        public MessageAccepted(String id, int messageClass, int tenant, String key, long deadline,
                        long destination, boolean takenUp, List<EarlierAttempt> earlier) {
            this(id, messageClass, tenant, key, deadline, 0, destination, takenUp, earlier);
        }

        public MessageAccepted(String id, int messageClass, int tenant, String key, long deadline,
                        long destination) {
            this(id, messageClass, tenant, key, deadline, 0, destination, false, List.of());
        }
    }

    /** An attempt ended. {@code retryAfter}: told wait or 0. {@code remainingShare}, {@code limitPerSecond}: -1 if untold. */
    public record AttemptEnded(String id, int attempt, long endpoint, Outcome outcome, boolean messageOver, long retryAfter,
                        long latency, double remainingShare, double limitPerSecond) implements Event { }

    /**
     * Discovery answered. {@code endpoints}: what changed, or all there is, of the destinations that the
     * module has been told of and has not released.
     */
    public record ListUpdated(ListKind kind, List<Endpoint> endpoints) implements Event { }

    /**
     * All endpoints of a destination that the module does not know yet, or has released; told before anything
     * else of that destination. No answer of discovery: it says nothing of how old the list is.
     */
    public record DestinationIntroduced(List<Endpoint> endpoints) implements Event { }

    /** The module is to release destinations that nothing rests on; without this it knows all for ever. */
    public record ReleaseRequested() implements Event { }

    /** The list held is of before the process began, and a newer one has been asked for. */
    public record ListRequested() implements Event { }

    /** The message was withdrawn; nothing is owed any more. */
    public record MessageWithdrawn(String id) implements Event { }

    /**
     * Other settings are in force. Their list of classes begins with the one held: messages taken under a
     * class that is gone, or was changed, keep it.
     */
    public record SettingsChanged(Settings settings) implements Event { }

    /** Another process takes over: whatever is not out is passed on, and nothing more is sent from here. */
    public record HandoverStarted() implements Event { }

    /** Health of an endpoint, as one relay sees it. */
    public enum Health {
        /** Answers. */ GOOD,
        /** Fails or refuses: it gets single trials only. */ OUT,
        /** Answers again, and gets calls by its slow start. */ RETURNING
    }

    /** Why the health of an endpoint changed. */
    public enum HealthReason {
        /** One call failed. */ SUSPECTED,
        /** Calls failed in a row, or most of late. */ FAILURES,
        /** A trial failed. */ TRIAL_FAILED,
        /** It refused again and again, or told a long wait. */ REFUSALS,
        /** Another endpoint of its destination is out, and it was not heard from. */ SIBLING_OUT,
        /** It is new to a destination none of whose endpoints answers. */ NEW_AMONG_OUT,
        /** The process before this one knew of it. */ RESTORED,
        /** A trial was answered. */ TRIAL_ANSWERED,
        /** A trial was answered, and it had answered just before the failure. */ SUSPICION_CLEARED,
        /** A call failed in slow start, which begins anew. */ FAILED_IN_SLOW_START,
        /** Its slow start is over. */ WARM
    }

    /**
     * What the process before knew of an endpoint. Points in time may lie before this clock began.
     *
     * @param since when its outage began or, if it is returning, ended
     * @param carriedPerSecond calls a second that this relay carried to it before the outage
     */
    public record EndpointSnapshot(long endpoint, long waitUntil, long unavailableUntil, Health health, long since,
                        double carriedPerSecond, double sendRate, double congestionWindow, double latency) implements Event {
        /** Only its health. */
        public static EndpointSnapshot health(long endpoint, Health health, long since, double carried) {
            return new EndpointSnapshot(endpoint, 0, 0, health, since, carried, 0, 0, 0);
        }

        /** Only that it told this relay to wait. */
        public static EndpointSnapshot ofWait(long endpoint, long until) {
            return new EndpointSnapshot(endpoint, until, 0, Health.GOOD, 0, 0, 0, 0, 0);
        }
    }

    /** The process before this one still has so many calls out to a destination. */
    public record ExternalCalls(long destination, int calls) implements Event { }

    /** Whether attempts can be written down; while they cannot, none may be made. */
    public record StorageChanged(boolean writable) implements Event { }

    /** A timer asked for with {@link SetTimer} is due. */
    public record TimerDue() implements Event { }

    /** Something to do. */
    public sealed interface Action { }

    /** Send the message; sends to one endpoint in one turn share a call up to the kind's bundle. */
    public record Send(String id, long endpoint, long timeout) implements Action { }

    /** Final answer: handed back, a retry is harmless. {@code retryAfter}: advice, 0 for none. */
    public record Refuse(String id, long retryAfter) implements Action { }

    /** Final answer: given up, nothing is promised. */
    public record Fail(String id) implements Action { }

    /** The message is the next process's from here on. */
    public record HandOver(String id) implements Action { }

    /** Stop waiting for an attempt. */
    public record CancelAttempt(String id, int attempt) implements Action { }

    /** Close the idle connections held to an endpoint. */
    public record CloseIdleConnections(long endpoint) implements Action { }

    /** Nothing is known any more of an endpoint that went off the list. */
    public record EndpointForgotten(long endpoint) implements Action { }

    /** Nothing is known any more of a destination: it must be introduced before its next message. */
    public record DestinationReleased(long destination) implements Action { }

    /** Ask for a {@link TimerDue} event after this span. */
    public record SetTimer(long delay) implements Action { }

    /**
     * The health of an endpoint has changed. The next process must be told of it ({@link EndpointSnapshot}) if this one
     * is killed: the rule on cold destinations binds a relay by what any of its processes was told.
     *
     * @param since when its outage began or, if it is returning, ended
     * @param carriedPerSecond calls a second that this relay carried to it before the outage
     * @param sentInWindow calls that count in the window of the slow start
     * @param allowedInWindow calls that the slow start allows in a window, from now on
     */
    public record HealthChanged(long endpoint, Health health, long since, double carriedPerSecond,
                                HealthReason reason, int sentInWindow, double allowedInWindow)
        implements Action { }
}
