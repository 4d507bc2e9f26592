package wrenkeel.scale;

/** Hears of the calls that stand-in destinations get; on their threads, so quickly and from any of them. */
public interface CallObserver {
    /**
     * The last byte of a call with this message has come.
     *
     * @param endpoint number of the endpoint
     * @param id of the message; null for one that no stand-in client has written
     * @param verdict what becomes of the call
     * @param nowNanos by the destinations' clock
     */
    void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos);

    /** The message's answer with 200 has been handed to the system, also in a bundle's answer. */
    void messageDelivered(int endpoint, MessageId id, long nowNanos);
}
