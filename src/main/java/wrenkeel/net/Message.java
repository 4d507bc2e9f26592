package wrenkeel.net;

/**
 * A message as its client submitted it.
 *
 * @param messageClass name of its class
 * @param tenant index of its tenant in the settings
 * @param routeKey null if there is none
 * @param idempotencyKey null if there is none
 * @param deadline Unix time in ms, by the {@link ProcessClock} of the process that holds the message
 */
record Message(String id, String messageClass, int tenant, String routeKey, String idempotencyKey,
               long destination, long deadline, byte[] body) {
    /** Returns the same message with another deadline. */
    Message withDeadline(long newDeadline) {
        return new Message(id, messageClass, tenant, routeKey, idempotencyKey, destination, newDeadline,
            body);
    }
}
