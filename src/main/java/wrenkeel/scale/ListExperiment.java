package wrenkeel.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** One real relay beside an agent whose list holds so many hosts. */
@Command(name = "list", mixinStandardHelpOptions = true,
    description = "One relay and a list of so many hosts: memory, processor time, bytes, start and restart.")
final class ListExperiment implements Callable<Integer> {
    @Mixin
    private CommonOptions options;

    @Override
    public Integer call() throws Exception {
        return 0;
    }
}
