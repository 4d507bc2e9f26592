package wrenkeel;

import java.io.IOException;
import java.util.Arrays;
import wrenkeel.net.Node;
import wrenkeel.scale.ScaleCommand;
import wrenkeel.soak.SoakCommand;

/**
 * Command-line entry point: {@code serve} runs a relay, {@code simhost} connects the decision module to the
 * simulator over standard input and output, {@code scale} runs the scale experiments, {@code soak} runs
 * relays under injected faults.
 */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    /** Runs a sub-command and returns the exit status; 2 for wrong arguments. */
    static int run(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("simhost")) {
            return SimHost.serve(System.in, System.out, System.err);
        }
        if (args.length == 1 && args[0].equals("serve")) {
            return Node.serve(System.getenv());
        }
        if (args.length >= 1 && args[0].equals("scale")) {
            return ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length));
        }
        if (args.length >= 1 && args[0].equals("soak")) {
            return SoakCommand.run(Arrays.copyOfRange(args, 1, args.length));
        }
        System.err.println("usage: java -jar wrenkeel.jar serve|simhost|scale ...|soak ...");
        return 2;
    }
}
