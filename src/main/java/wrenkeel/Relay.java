package wrenkeel;

import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module ({@link Control}): its settings, the events that it receives and the
 * actions that it returns.
 *
 * <p>All times are points of one monotonic clock, and all spans are spans of it, in whole microseconds unless
 * stated otherwise. Ids of messages, endpoints and destinations are the caller's. This file holds data only.
 */
public final class Relay {
    private Relay() { }

    /** What a second execution of the same message would do. */
    public enum Effect {
        /** It is harmless: the message may be repeated at will. */ SAFE,
        /** The endpoints that share a deduplication record drop it within the class's window. */ KEYED,
        /** It would take effect a second time. */ UNSAFE
    }

    /** How one attempt ended. */
    public enum Outcome {
        /** The message was delivered. */ OK,
        /** The endpoint answered with an error. */ ERROR,
        /** The endpoint refused the message because it is at its limit. */ FULL,
        /** No answer came within the attempt's timeout. */ TIMEOUT,
        /** The connection could not be established. */ CONNECT_FAILED,
        /** The connection ended before an answer came. */ RESET,
        /** The attempt was cancelled, and what the endpoint did with it is unknown. */ CANCELLED,
        /** The caller did not send the attempt. */ NOT_SENT,
        /** The attempt could not be written to the journal, so it was not made. */ NOT_JOURNALED,
        /** The relay's own machine had no socket for it. */ NO_SOCKET;

        /** True when this outcome proves that the attempt had no effect. */
        public boolean provesNotExecuted() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || isLocalFailure();
        }

        /** True when the relay's own machine failed: no attempt was made, and no endpoint is at fault. */
        public boolean isLocalFailure() { return this == NOT_JOURNALED || this == NO_SOCKET; }
    }

    /** State of an endpoint in discovery's list. It is independent of the endpoint's health. */
    public enum Listing {
        /** Accepts calls. */ READY,
        /** Is still listed but must get no new calls. */ DRAINING,
        /** Is no longer listed. */ GONE
    }

    /** Whether a list of endpoints holds only changes to the previous one, or is complete. */
    public enum ListKind { CHANGES, WHOLE }

    /**
     * One address of a destination.
     *
     * @param kind index into {@link Settings#kinds()}
     * @param weight the listed rate in calls per second from all relays, or 1 if none is listed
     */
    public record Endpoint(long id, int zone, int kind, long destination, Listing listing, double weight) { }

    /**
     * A class of messages.
     *
     * @param aim target time, counted from acceptance; a message delivered within it earns its full worth
     * @param lifetime time from acceptance to the end of the message's life
     * @param worth worth of a message that is delivered within its target time
     * @param lateWorth share of the worth, 0 to 1, that a late delivery still earns at least
     * @param dedupPerZone for {@link Effect#KEYED}: repeats are dropped only by endpoints of the same zone
     * @param dedupWindow for {@link Effect#KEYED}: time after an attempt during which a repeat is dropped
     * @param inOrder messages with the same ordering key are sent one after the other
     * @param maxAttempts attempts that one message may have
     */
    public record MessageClass(String name, long aim, long lifetime, double worth, double lateWorth,
                               Effect effect, boolean dedupPerZone, long dedupWindow, boolean inOrder,
                               int maxAttempts) { }

    /**
     * A tenant.
     *
     * @param quotaPerSecond rate of messages, over all relays, that earn their full worth
     */
    public record Tenant(String name, double quotaPerSecond) { }

    /**
     * A kind of destination.
     *
     * @param independentEndpoints each endpoint has a rate limit and a Retry-After of its own; otherwise the
     *     endpoints of a destination share them
     * @param maxMessagesPerCall messages that one call may carry
     */
    public record Kind(boolean independentEndpoints, int maxMessagesPerCall) { }

    /** How far the listed weights can be trusted as rates. */
    public enum Weights {
        /** No rates are listed. */ NONE,
        /** The listed rates are exact. */ NOMINAL,
        /** The listed rates are up to half too high or too low. */ ROUGH
    }

    /**
     * What the site permits one relay to do.
     *
     * @param callSlots calls that may be in flight at once
     * @param maxOpenMessages accepted messages without a final answer that the relay may hold
     * @param copiesAllowed whether a second attempt may be sent in parallel (hedged requests)
     * @param cancelAllowed whether attempts in flight may be cancelled
     * @param maxStreams calls in flight that one connection can carry
     * @param keepAlive time for which an idle connection may be kept
     * @param maxRetryAfter the longest retry-after to be given with a refusal; 0 to give none
     */
    public record Limits(int callSlots, int maxOpenMessages, boolean copiesAllowed, boolean cancelAllowed,
                         int maxStreams, long connectTimeout, long keepAlive,
                         long maxRetryAfter) { }

    /**
     * Figures of the rules that every relay must keep.
     *
     * @param drainGrace time within which sending to an endpoint must stop once the list calls it draining
     * @param overloadFactor a destination back from an outage fails again if, within one
     *     {@code overloadWindow}, it gets more than this multiple of the calls that it can serve in that
     *     time with its capacity at that stage of the warm-up
     * @param overloadWindow span over which those calls are counted
     * @param coldCapacity share of its capacity that a destination has when it returns from an outage
     * @param warmUpTime time that it takes from there to its full capacity
     * @param keyPause time for which the messages of an ordering key pause after an attempt whose effect is
     *     unknown
     * @param answerSlack time after its deadline by which a message must have its final answer
     */
    public record Rules(long drainGrace, double overloadFactor, long overloadWindow, double coldCapacity,
                        long warmUpTime, long keyPause, long answerSlack) { }

    /**
     * Points that are taken off the result, on a scale that runs to 1: 0.01 is one hundredth of it. Each
     * figure is multiplied by the share or rate of what it is for. The module uses {@code crossZone} and
     * {@code zoneFees}.
     *
     * @param refusal for refused calls
     * @param handshake for new connections
     * @param crossZone for calls to another zone
     * @param waste for work that endpoints did in vain
     * @param zoneFees for calls to independent endpoints, by the endpoint's zone
     */
    public record Costs(double refusal, double handshake, double crossZone, double waste,
                        List<Double> zoneFees) { }

    /**
     * The settings of one relay.
     *
     * @param rank number of this relay among all relays
     * @param relayCount number of all relays
     * @param zone zone of this relay
     * @param lateWorthHalves the worth of a late message halves with every further target time; otherwise it
     *     falls linearly until the deadline
     * @param overShareWorth factor for the worth of messages beyond their tenant's quota
     */
    public record Settings(int rank, int relayCount, int zone, boolean lateWorthHalves, double overShareWorth,
                           Weights weights, List<MessageClass> classes, List<Tenant> tenants,
                           List<Kind> kinds, Limits limits, Rules rules, Costs costs) {
        /** These settings with other message classes. */
        public Settings withClasses(List<MessageClass> others) {
            return new Settings(rank, relayCount, zone, lateWorthHalves, overShareWorth, weights, others,
                tenants, kinds, limits, rules, costs);
        }
    }

    /** Something that happened, as input to the module. */
    public sealed interface Event { }

    /**
     * An attempt made before a restart.
     *
     * @param sentAt when it was sent, which may lie before this clock began
     * @param mayHaveRun false when its outcome proved that it had no effect
     */
    public record EarlierAttempt(long sentAt, int zone, boolean mayHaveRun) { }

    /**
     * A message was accepted. The module owes it exactly one final answer before {@code deadline}.
     *
     * @param messageClass index into {@link Settings#classes()}
     * @param tenant index into {@link Settings#tenants()}; an index past the end is a tenant without a quota
     * @param orderingKey null for none
     * @param answerReserve time between {@code deadline} and the end of the message's life, which is kept for
     *     delivering the answer
     * @param recovered it was accepted by an earlier process
     * @param earlierAttempts its attempts so far; new ones are numbered after them
     */
    public record MessageAccepted(String id, int messageClass, int tenant, String orderingKey, long deadline,
                                  long answerReserve, long destination, boolean recovered,
                                  List<EarlierAttempt> earlierAttempts) implements Event {
        /** A message without an answer reserve. */
        public MessageAccepted(String id, int messageClass, int tenant, String orderingKey, long deadline,
                               long destination, boolean recovered, List<EarlierAttempt> earlierAttempts) {
            this(id, messageClass, tenant, orderingKey, deadline, 0, destination, recovered, earlierAttempts);
        }

        /** A new message without an answer reserve. */
        public MessageAccepted(String id, int messageClass, int tenant, String orderingKey, long deadline,
                               long destination) {
            this(id, messageClass, tenant, orderingKey, deadline, 0, destination, false, List.of());
        }
    }

    /**
     * An attempt ended.
     *
     * @param attempt index of the attempt among those of the message
     * @param messageOver the message needs no further attempt and no final answer from the module
     * @param retryAfter time for which the endpoint told the relay to wait; 0 for none
     * @param remainingShare share of its rate limit, 0 to 1, that the endpoint reports as left; -1 if it
     *     reports none
     * @param limitPerSecond the rate limit in calls per second that the endpoint reports; -1 if none
     */
    public record AttemptEnded(String id, int attempt, long endpoint, Outcome outcome, boolean messageOver,
                               long retryAfter, long latency, double remainingShare,
                               double limitPerSecond) implements Event { }

    /**
     * Discovery answered.
     *
     * @param endpoints the changed endpoints, or all endpoints, of the destinations that were introduced to
     *     the module and not released since
     */
    public record ListUpdated(ListKind kind, List<Endpoint> endpoints) implements Event { }

    /**
     * All endpoints of a destination that the module does not know yet or has released. It must precede every
     * other event about that destination. It is no response of discovery: it does not show that the list is
     * up to date.
     */
    public record DestinationIntroduced(List<Endpoint> endpoints) implements Event { }

    /**
     * The module is to release destinations that are no longer in use. Without this event it keeps every
     * destination for ever.
     */
    public record ReleaseRequested() implements Event { }

    /**
     * The present list is from before the process began, and a newer one has been requested. The module sends
     * nothing until it arrives, or for a second.
     */
    public record ListRequested() implements Event { }

    /** The message was withdrawn; no answer is owed any more. */
    public record MessageWithdrawn(String id) implements Event { }

    /**
     * New settings take effect. Their list of classes must begin with the present list: messages that were
     * accepted under a class that was removed or changed keep that class.
     */
    public record SettingsChanged(Settings settings) implements Event { }

    /** Another process takes over: messages without an open attempt are handed over, nothing more is sent. */
    public record HandoverStarted() implements Event { }

    /** Health of an endpoint as this relay sees it. */
    public enum Health {
        /** Answers. */ GOOD,
        /** Ejected because it fails or refuses: gets single probes only. */ OUT,
        /** Answers again; its slow start limits the calls to it. */ RETURNING
    }

    /** Why the health of an endpoint changed. */
    public enum HealthReason {
        /** One call failed. */ SUSPECTED,
        /** Several calls failed in a row, or most of the recent ones. */ FAILURES,
        /** A probe failed. */ TRIAL_FAILED,
        /** It refused repeatedly, or told the relay to wait for long. */ REFUSALS,
        /** It refused a call after it had not answered for long. */ REFUSED_AFTER_SILENCE,
        /** Another endpoint of its destination is out, and it has not answered lately. */ SIBLING_OUT,
        /** It is new to a destination of which no endpoint answers. */ NEW_AMONG_OUT,
        /** The previous process handed it over as out or returning. */ RESTORED,
        /** A probe was answered. */ TRIAL_ANSWERED,
        /** A probe was answered, and the endpoint had answered just before the failure. */ SUSPICION_CLEARED,
        /** A call failed during slow start, which begins again. */ FAILED_IN_SLOW_START,
        /** Its slow start is complete. */ WARM
    }

    /**
     * What the previous process knew about an endpoint. Times may lie before this clock began. A rate, window
     * or latency of 0 is unknown.
     *
     * @param waitUntil end of the wait that the endpoint asked for
     * @param unavailableUntil end of all waits and backoffs
     * @param since when its outage began or, if it is returning, ended
     * @param carriedPerSecond calls per second that this relay delivered to it before the outage
     * @param sendRate calls per second that this relay may send to it
     * @param congestionWindow calls that this relay may have open to the destination
     * @param latency its recent response time
     */
    public record EndpointSnapshot(long endpoint, long waitUntil, long unavailableUntil, Health health,
                                   long since, double carriedPerSecond, double sendRate,
                                   double congestionWindow, double latency) implements Event {
        /** A snapshot of nothing but the endpoint's health. */
        public static EndpointSnapshot health(long endpoint, Health health, long since,
                                              double carriedPerSecond) {
            return new EndpointSnapshot(endpoint, 0, 0, health, since, carriedPerSecond, 0, 0, 0);
        }

        /** A snapshot of nothing but a wait that the endpoint asked for. */
        public static EndpointSnapshot ofWait(long endpoint, long until) {
            return new EndpointSnapshot(endpoint, until, 0, Health.GOOD, 0, 0, 0, 0, 0);
        }
    }

    /** The number of calls to a destination that the previous process still has in flight. */
    public record ExternalCalls(long destination, int calls) implements Event { }

    /**
     * The ordering keys of which the previous process still has messages, in flight or waiting. They were
     * accepted before those of this process, so none of these keys' messages may be sent meanwhile.
     */
    public record ExternalOrderingKeys(Set<String> orderingKeys) implements Event { }

    /** Whether attempts can be written to the journal; while they cannot, none may be made. */
    public record StorageChanged(boolean writable) implements Event { }

    /** A timer that was requested with {@link SetTimer} is due. */
    public record TimerDue() implements Event { }

    /** Something that the caller is to do. */
    public sealed interface Action { }

    /**
     * Send the message. Messages sent to one endpoint in the same turn share a call, up to the limit of the
     * endpoint's kind.
     */
    public record Send(String id, long endpoint, long timeout) implements Action { }

    /**
     * Final answer: the message is refused, and its sender may safely hand it in again.
     *
     * @param retryAfter time that it should wait before that; 0 for no advice
     */
    public record Refuse(String id, long retryAfter) implements Action { }

    /** Final answer: the message failed, and it may or may not have been executed. */
    public record Fail(String id) implements Action { }

    /** The next process is responsible for the message from here on. */
    public record HandOver(String id) implements Action { }

    /** Stop waiting for an attempt. */
    public record CancelAttempt(String id, int attempt) implements Action { }

    /** Close the idle connections to an endpoint. */
    public record CloseIdleConnections(long endpoint) implements Action { }

    /** The module has removed all it knew about an endpoint that is no longer listed. */
    public record EndpointForgotten(long endpoint) implements Action { }

    /** The module has released a destination, which must be introduced again before its next message. */
    public record DestinationReleased(long destination) implements Action { }

    /** Send a {@link TimerDue} event after this delay. */
    public record SetTimer(long delay) implements Action { }

    /**
     * The health of an endpoint has changed. The caller stores it so that the next process receives it as an
     * {@link EndpointSnapshot} even if this one is killed: the limit on calls to a cold destination binds a
     * relay by what any of its processes has observed.
     *
     * @param since when its outage began or, if it is returning, ended
     * @param carriedPerSecond calls per second that this relay delivered to it before the outage
     * @param sentInWindow calls that count against the slow start's budget in the present window
     * @param allowedInWindow calls that the slow start allows in a window, from now on
     */
    public record HealthChanged(long endpoint, Health health, long since, double carriedPerSecond,
                                HealthReason reason, int sentInWindow, double allowedInWindow)
        implements Action { }
}
