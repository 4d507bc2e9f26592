package wrenkeel;

import java.io.IOException;
import java.util.Arrays;
import wrenkeel.net.Node;
import wrenkeel.scale.ScaleCommand;
import wrenkeel.soak.SoakCommand;

/**
 * Entry point: {@code serve} runs one real relay, {@code simhost} the adapter on standard streams,
 * {@code scale} the scale runs, {@code soak} the fault soak.
 */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

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
