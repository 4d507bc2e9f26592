package wrenkeel;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.function.Executable;
import wrenkeel.FleetSimulation.Restart;
import wrenkeel.FleetSimulation.RestartState;
import wrenkeel.FleetSimulation.Result;
import wrenkeel.FleetSimulation.Scenario;
import wrenkeel.Relay.Weights;
import wrenkeel.soak.OutageShape;
import wrenkeel.soak.OutageShape.Failure;
import wrenkeel.soak.OutageShape.QuietSpell;

/**
 * A destination that returns cold from an outage fails again if all relays of a fleet together send it more
 * calls than it bears. These tests check that the slow starts of all relays keep to that budget.
 *
 * <p>Relays that have seen no call fail during the outage cannot know that the destination is cold. Where
 * that may happen, only relays that have been told of the outage, by a failed call of any of their processes,
 * are held to the budget; "stay told" in a test's name means that they keep to it after a restart too.
 */
@ExtendWith(KnownRed.class)
class ColdReturnTest {
    private static final int[] FLEET_SIZES = {20, 60, 120};
    private static final int SEED_COUNT = 8;
    /** Calls a second that the warm destination accepts. */
    private static final double CAPACITY = 20;

    /**
     * Runs each size of fleet with each seed, and then checks all results. Prints, for each size, the highest
     * loads and the mean shares of messages that were delivered in time and for which no call was made.
     *
     * @param check receives a description of the run and its result
     */
    private static void runFleets(Weights weights, Failure outage, BiConsumer<String, Result> check) {
        List<Executable> checks = new ArrayList<>();
        for (int relays : FLEET_SIZES) {
            double maxRatio = 0;
            double maxInformedRatio = 0;
            double inAimShare = 0;
            double withoutCallShare = 0;
            for (long seed = 1; seed <= SEED_COUNT; seed++) {
                Scenario scenario = new Scenario(relays, outage, weights, CAPACITY, seed);
                Result result = FleetSimulation.run(scenario);
                checks.add(() -> check.accept(scenario + " " + result, result));
                maxRatio = Math.max(maxRatio, result.coldLoad().maxRatio());
                maxInformedRatio = Math.max(maxInformedRatio, result.coldLoad().maxInformedRatio());
                inAimShare += result.inAimShare() / SEED_COUNT;
                withoutCallShare += result.withoutCallShare() / SEED_COUNT;
            }
            System.out.printf(Locale.ROOT,
                "cold return, limits %s, outage %s, %d relays: highest load %.2f of the budget, "
                + "of informed relays %.2f, delivered in aim %.3f, without a call %.3f%n",
                weights, outage, relays, maxRatio, maxInformedRatio, inAimShare, withoutCallShare);
        }
        assertAll(checks);
    }

    /** Checks that all relays together keep to the budget in every window. */
    private static void assertWithinBudget(String run, Result result) {
        assertTrue(result.coldLoad().maxRatio() <= 1, run);
    }

    /** Checks informed relays only: one whose first failed call ends after the outage cannot know of it. */
    private static void assertInformedRelaysWithinBudget(String run, Result result) {
        assertTrue(result.coldLoad().maxInformedRatio() <= 1, run);
        assertFalse(result.coldLoad().isOverloadedByInformedRelays(), run);
    }

    @Test
    void budgetHoldsWithoutListedLimitsAfterRefusedConnections() {
        runFleets(Weights.NONE, Failure.CONNECTION_REFUSED, ColdReturnTest::assertWithinBudget);
    }

    @Test
    void budgetHoldsWithoutListedLimitsAfterRejections() {
        runFleets(Weights.NONE, Failure.REJECTED_WITH_WAIT, ColdReturnTest::assertWithinBudget);
    }

    @Test
    void informedRelaysKeepTheBudgetWithoutListedLimitsAfterSilence() {
        runFleets(Weights.NONE, Failure.NO_RESPONSE, ColdReturnTest::assertInformedRelaysWithinBudget);
    }

    @Test
    void budgetHoldsWithListedLimitsAfterRefusedConnections() {
        runFleets(Weights.NOMINAL, Failure.CONNECTION_REFUSED, ColdReturnTest::assertWithinBudget);
        runFleets(Weights.ROUGH, Failure.CONNECTION_REFUSED, ColdReturnTest::assertWithinBudget);
    }

    @Test
    void informedRelaysKeepTheBudgetWithListedLimitsAfterSilence() {
        runFleets(Weights.NOMINAL, Failure.NO_RESPONSE, ColdReturnTest::assertInformedRelaysWithinBudget);
        runFleets(Weights.ROUGH, Failure.NO_RESPONSE, ColdReturnTest::assertInformedRelaysWithinBudget);
    }

    @Test
    void budgetHoldsWithListedLimitsAfterRejections() {
        runFleets(Weights.NOMINAL, Failure.REJECTED_WITH_WAIT, ColdReturnTest::assertWithinBudget);
        runFleets(Weights.ROUGH, Failure.REJECTED_WITH_WAIT, ColdReturnTest::assertWithinBudget);
    }

    /** A relay that sent little before the outage still finds out in time that the destination is back. */
    @Test
    void fewMessagesOfALargeFleetEndWithoutACall() {
        for (Failure outage : List.of(Failure.CONNECTION_REFUSED, Failure.NO_RESPONSE)) {
            double withoutCallShare = 0;
            for (long seed = 1; seed <= SEED_COUNT; seed++) {
                Scenario scenario = new Scenario(120, outage, Weights.NONE, CAPACITY, seed);
                withoutCallShare += FleetSimulation.run(scenario).withoutCallShare() / SEED_COUNT;
            }
            assertTrue(withoutCallShare < 0.025, outage + " " + withoutCallShare);
        }
    }

    /** Times of restarts, relative to the destination's return. */
    private static final long[] RESTART_TIMES_MS = {-3_000, -1_000, 300, 5_000};

    /** Runs all scenarios; a failure says in how many of them informed relays exceed the budget. */
    private static void assertInformedRelaysKeepTheBudget(List<Scenario> scenarios) {
        List<String> failures = scenarios.parallelStream().map(scenario -> {
            SimulatedDestination.ColdLoad load = FleetSimulation.run(scenario).coldLoad();
            return load.maxInformedRatio() > 1 || load.isOverloadedByInformedRelays()
                ? scenario + " " + load : "";
        }).filter(run -> !run.isEmpty()).toList();
        assertTrue(failures.isEmpty(),
            failures.size() + " of " + scenarios.size() + " over budget, the first: "
                + failures.stream().findFirst().orElse(""));
    }

    /** Outages in which calls are rejected as over a limit. */
    private static final Set<Failure> REFUSING_OUTAGES =
        EnumSet.of(Failure.REJECTED_WITH_WAIT, Failure.REJECTED);
    /** Outages in which calls fail. */
    private static final Set<Failure> FAILING_OUTAGES = EnumSet.of(Failure.CONNECTION_REFUSED,
        Failure.NO_RESPONSE, Failure.ERROR_RESPONSE, Failure.CONNECTION_RESET);
    private static final Set<Failure> ALL_OUTAGES = EnumSet.copyOf(
        Stream.of(REFUSING_OUTAGES, FAILING_OUTAGES).flatMap(Set::stream).toList());

    /** Scenarios of 44 relays; each of these shares of them is restarted around the destination's return. */
    private static List<Scenario> restartScenarios(Set<Failure> outages, RestartState state,
                                                   double... shares) {
        List<Scenario> scenarios = new ArrayList<>();
        for (Failure outage : outages) {
            for (Weights weights : List.of(Weights.NONE, Weights.NOMINAL)) {
                for (double capacity : new double[] {20, 60}) {
                    for (long millis : RESTART_TIMES_MS) {
                        for (double share : shares) {
                            long at = Scenario.firstReturnAt() + millis * FleetSimulation.MS;
                            for (long seed = 1; seed <= 3; seed++) {
                                scenarios.add(new Scenario(44, outage, weights, capacity, seed)
                                    .withRestarts(new Restart(at, share, state)));
                            }
                        }
                    }
                }
            }
        }
        return scenarios;
    }

    @Test
    void relaysKilledInAnOutageOfFailuresKeepTheBudget() {
        assertInformedRelaysKeepTheBudget(
            restartScenarios(FAILING_OUTAGES, RestartState.STATE_FOLDER, 0.02, 0.7, 1));
    }

    @Test
    void relaysKilledInAnOutageOfRefusalsStayTold() {
        assertInformedRelaysKeepTheBudget(
            restartScenarios(REFUSING_OUTAGES, RestartState.STATE_FOLDER, 0.02, 0.7, 1));
    }

    @Test
    void oneRelayThatLostItsStateFolderDoesNotOverloadTheDestination() {
        assertInformedRelaysKeepTheBudget(
            restartScenarios(ALL_OUTAGES, RestartState.NO_STATE, 0.02));
    }

    @Test
    void manyRelaysThatLostTheirFoldersStayTold() {
        assertInformedRelaysKeepTheBudget(
            restartScenarios(ALL_OUTAGES, RestartState.NO_STATE, 0.7, 1));
    }

    @Test
    void relaysReplacedAroundTheReturnKeepTheBudget() {
        assertInformedRelaysKeepTheBudget(
            restartScenarios(ALL_OUTAGES, RestartState.HANDOVER, 0.02, 0.7, 1));
    }

    @Test
    void relaysKilledAgainInSlowStartKeepTheBudget() {
        List<Scenario> scenarios = new ArrayList<>();
        for (Scenario once : restartScenarios(ALL_OUTAGES, RestartState.STATE_FOLDER, 0.7)) {
            Restart first = once.restarts().get(0);
            Restart second = new Restart(first.at() + 2 * FleetSimulation.SECOND, 0.7,
                RestartState.STATE_FOLDER);
            scenarios.add(once.withRestarts(first, second));
        }
        assertInformedRelaysKeepTheBudget(scenarios);
    }

    /** Scenarios of one to 120 relays and various capacities: uneven traffic, even traffic, two outages. */
    private static List<Scenario> fleetSizeScenarios(Set<Failure> outages) {
        List<Scenario> scenarios = new ArrayList<>();
        for (Failure outage : outages) {
            for (Weights weights : Weights.values()) {
                for (int relays : new int[] {1, 4, 44, 120}) {
                    for (double capacity : new double[] {4, 20, 60, 250}) {
                        Scenario uneven = new Scenario(relays, outage, weights, capacity, 1);
                        scenarios.addAll(
                            List.of(uneven, uneven.withEvenTraffic(), uneven.withTwoOutages()));
                    }
                }
            }
        }
        return scenarios;
    }

    @Test
    void fleetsOfEverySizeKeepTheBudgetAfterFailures() {
        assertInformedRelaysKeepTheBudget(fleetSizeScenarios(FAILING_OUTAGES));
    }

    @Test
    void fleetsOfEverySizeKeepTheBudgetAfterRefusals() {
        assertInformedRelaysKeepTheBudget(fleetSizeScenarios(REFUSING_OUTAGES));
    }

    /** Shapes that are drawn for all kinds of outages together. */
    private static final int DRAWN_SHAPES = 1_000;

    @Test
    void relaysKeepTheBudgetAfterOutagesOfAnyShape() {
        assertColdDestinationsDoNotFallByInformedRelays(LongStream.rangeClosed(1, DRAWN_SHAPES)
            .mapToObj(OutageShape::draw).map(Scenario::new).toList());
    }

    /** Outages that end for most relays before they learn of them: fleet, messages and capacity a second. */
    private static List<Scenario> cutScenarios(Failure failure) {
        List<Scenario> scenarios = new ArrayList<>();
        double[][] fleets = {{24, 4, 5}, {48, 8, 10}, {48, 4, 5}, {120, 8, 10}, {120, 24, 30}, {2_300, 46, 58}};
        for (double[] fleet : fleets) {
            for (long seed = 1; seed <= SEED_COUNT; seed++) {
                OutageShape steady =
                    OutageShape.steady(seed, (int) fleet[0], fleet[1], fleet[2], failure, 6_000);
                scenarios.add(new Scenario(steady));
                scenarios.add(new Scenario(steady.with(new QuietSpell(-6_000, 2_500), NO_KILL)));
                scenarios.add(new Scenario(steady.with(new QuietSpell(-6_000, 3_000),
                    new OutageShape.Restart(0.7, -800))));
            }
        }
        return scenarios;
    }

    private static final OutageShape.Restart NO_KILL = OutageShape.Restart.NONE;

    @Test
    void quietRelaysWhoseCallsAreCutAtTheReturnKeepTheBudget() {
        assertColdDestinationsDoNotFallByInformedRelays(cutScenarios(Failure.NO_RESPONSE_THEN_RESET));
    }

    @Test
    void quietRelaysRefusedJustBeforeTheReturnKeepTheBudget() {
        assertColdDestinationsDoNotFallByInformedRelays(cutScenarios(Failure.REJECTED));
    }

    /** The rule itself: no first overload of which over two thirds came from informed relays. */
    private static void assertColdDestinationsDoNotFallByInformedRelays(List<Scenario> scenarios) {
        List<String> falls = scenarios.parallelStream().map(scenario -> {
            SimulatedDestination.ColdLoad load = FleetSimulation.run(scenario).coldLoad();
            return load.isOverloadedByInformedRelays() ? scenario + " " + load : "";
        }).filter(run -> !run.isEmpty()).toList();
        assertTrue(falls.isEmpty(), falls.size() + " of " + scenarios.size() + " broken, the first: "
            + falls.stream().findFirst().orElse(""));
    }
}
