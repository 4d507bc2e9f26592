package wrenkeel.scale;

/**
 * Receives the calls that stand-in destinations get and the messages that they accept. Its methods run on
 * any of the destinations' event loop threads, so they must be thread-safe and return quickly.
 */
public interface CallObserver {
    /**
     * The last byte of a call that carries this message was received.
     *
     * @param endpoint number of the endpoint
     * @param id of the message; null if its id was not written by a stand-in client
     * @param response what the endpoint answers
     * @param nowNanos time by the destinations' clock
     */
    void callReceived(int endpoint, MessageId id, EndpointModel.Response response, long nowNanos);

    /**
     * The response with status 200 that accepts the message, alone or in a batch, was passed to the socket.
     */
    void messageDelivered(int endpoint, MessageId id, long nowNanos);
}
