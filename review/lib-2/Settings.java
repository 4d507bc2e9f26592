/** The configuration of a relay of a small deployment: one kind of endpoint. */
final class Settings {
    String profiles;
    String localities = "\"a\"";
    int bundleMax = 1;
    boolean secondCopies;
    int balancers = 1;
    int mostTries = 8;
    int callSlots = 60;
    long keyRestMillis;

    /** One class. {@code extra}: further fields, each with a comma before it. */
    static String profile(String name, String semantics, long aim, long lifetime, String extra) {
        return "{\"name\":\"" + name + "\",\"aim\":" + aim + ",\"hard-limit\":" + lifetime
            + ",\"semantics\":\"" + semantics + "\",\"worth\":1.0,\"late-worth\":0.5" + extra + "}";
    }

    String config(Relaying relaying, String knownList) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + relaying.listenPort()
            + "\",\"console\":\"127.0.0.1:" + relaying.consolePort() + "\",\"discovery\":\"127.0.0.1:"
            + relaying.agentPort() + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},"
            + "\"known\":" + knownList + ",\"settings\":{\"rank\":0,\"balancers\":" + balancers
            + ",\"zone\":0,\"localities\":[" + localities + "],\"kinds\":[\"m1\"],\"weights\":\"none\","
            + "\"allowed\":{\"cancel\":true,\"second-copies\":" + secondCopies
            + ",\"connect-timeout\":800,\"keepalive\":15000,\"most-tries\":" + mostTries
            + ",\"open-cap\":400,\"max-streams\":1,\"retry-after\":true,\"max-retry-after\":3000},"
            + "\"family-info\":{\"call-slots\":" + callSlots + ",\"kind-apart\":[false],\"bundle-max\":["
            + bundleMax + "]},\"rules\":{\"stop-sending-within\":250,\"fall-multiple\":2,"
            + "\"tip-after\":2000,\"cold-from\":0.2,\"cold\":10000"
            + (keyRestMillis > 0 ? ",\"key-rest\":" + keyRestMillis : "") + "},"
            + "\"profiles\":[" + profiles + "]}}";
    }

    /** The ports of a relay. */
    record Relaying(int listenPort, int consolePort, int agentPort) { }
}
