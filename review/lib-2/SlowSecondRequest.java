import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients keep their connection. Each one rests for less than 2 s after its first answer, then writes its next
 * request in two pieces, in less than 2 s. Does the relay end the connection without an answer?
 */
final class SlowSecondRequest extends Play {
    private static final int CLIENTS = 8;
    private static final long REST_MILLIS = 1_900;
    private static final long PAUSE_MILLIS = 850;
    private int unanswered;
    private int answered;

    public static void main(String[] args) {
        new SlowSecondRequest().run(args);
    }

    @Override
    boolean play() throws Exception {
        Endpoint endpoint = new Endpoint(this, "s-0000000a", freePort(), call -> {
            note("endpoint runs " + call.ids);
            Thread.sleep(40);
            return Endpoint.Answer.delivered(call);
        });
        Agent agent = new Agent(this, freePort());
        agent.list(1, Agent.entry(endpoint.name, endpoint.port, 1, "m1", "ready"));
        Settings.Relaying ports = new Settings.Relaying(freePort(), freePort(), agent.port);
        Settings settings = new Settings();
        settings.profiles = Settings.profile("delivery", "dedup", 3_000, 28_000, ",\"window\":7500");
        Relay relay = new Relay(this, "first", Relay.prepare(this,
            settings.config(ports, agent.wholeList())), ports.listenPort(), ports.consolePort(), agent.port);
        relay.awaitServing();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> client(relay, number));
            client.start();
            clients.add(client);
            Thread.sleep(300);
        }
        for (Thread client : clients) {
            client.join();
        }
        if (unanswered + answered < CLIENTS) {
            throw new CannotRun("not every client has written its second request");
        }
        note(answered + " second requests answered, " + unanswered + " closed on without an answer");
        return unanswered == 0;
    }

    private void client(Relay relay, int number) {
        String first = String.format("%016x", 0x2000 + 2 * number);
        String second = String.format("%016x", 0x2001 + 2 * number);
        try (Socket socket = Http.connect(relay.listenPort)) {
            socket.setSoTimeout(3_000);
            write(socket, Http.submission("delivery", 1, first, 16_000, "", "first"));
            Http.Answer answer = Http.readAnswer(socket.getInputStream());
            if (answer == null || answer.status() != 202 || answer.headers().containsKey("connection")) {
                note("client " + number + ": first request not taken on, or the connection is not kept");
                return;
            }
            note("client " + number + ": " + first + " answered 202, rests " + REST_MILLIS + " ms");
            Thread.sleep(REST_MILLIS);
            String text = Http.submission("delivery", 1, second, 16_000, "", "second");
            int cut = text.indexOf("X-Timeout-Ms");
            write(socket, text.substring(0, cut));
            note("client " + number + ": first piece of " + second + " written");
            Thread.sleep(trouble ? PAUSE_MILLIS : 10);
            write(socket, text.substring(cut));
            note("client " + number + ": last byte of " + second + " written");
            String end = "no answer, connection ended";
            boolean ended = true;
            try {
                Http.Answer late = Http.readAnswer(socket.getInputStream());
                ended = late == null;
                end = ended ? end : "answered " + late.status();
            } catch (SocketTimeoutException e) {
                end = "no answer in 3 s, connection open";
            } catch (IOException e) {
                end = "no answer, " + e.getMessage();
            }
            note("client " + number + ": " + second + ": " + end);
            count(ended);
        } catch (IOException | InterruptedException e) {
            note("client " + number + ": " + e);
        }
    }

    private synchronized void count(boolean ended) {
        unanswered += ended ? 1 : 0;
        answered += ended ? 0 : 1;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
