package wrenkeel.net;

/**
 * One message as its client handed it in. {@code deadline}: Unix time in ms, as the process that holds it
 * reckons it ({@link ProcessClock}); keys are null where there are none.
 */
record Message(String id, String messageClass, int tenant, String routeKey, String idempotencyKey,
                      long destination, long deadline, byte[] body) {
    Message withDeadline(long newDeadline) {
        return new Message(id, messageClass, tenant, routeKey, idempotencyKey, destination, newDeadline, body);
    }
}
