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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.function.Executable;
import wrenkeel.ColdDestination.Outage;
import wrenkeel.ColdFleet.Inheritance;
import wrenkeel.ColdFleet.Restart;
import wrenkeel.ColdFleet.Result;
import wrenkeel.ColdFleet.Scenario;
import wrenkeel.Relay.Weights;

/** Guards a destination that comes back cold against the sum of the calls of a whole fleet. */
@ExtendWith(KnownRed.class)
class ColdReturnTest {
    private static final int[] FLEETS = {20, 60, 120};
    private static final int SEEDS = 8;
    private static final double CAPACITY = 20;

    /** Plays every size of fleet and seed; prints the worst of each size. */
    private static void play(Weights weights, Outage outage, BiConsumer<String, Result> check) {
        List<Executable> checks = new ArrayList<>();
        for (int relays : FLEETS) {
            double worst = 0;
            double worstTold = 0;
            double inAim = 0;
            double untried = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                Scenario scenario = new Scenario(relays, outage, weights, CAPACITY, seed);
                Result result = ColdFleet.play(scenario);
                checks.add(() -> check.accept(scenario + " " + result, result));
                worst = Math.max(worst, result.cold().worst());
                worstTold = Math.max(worstTold, result.cold().worstTold());
                inAim += result.inAim() / SEEDS;
                untried += result.untried() / SEEDS;
            }
            System.out.printf(Locale.ROOT, "cold return %s %s %d relays: worst %.2f, of relays told %.2f, "
                + "in aim %.3f, untried %.3f%n", weights, outage, relays, worst, worstTold, inAim, untried);
        }
        assertAll(checks);
    }

    private static void withinTheBound(String play, Result result) {
        assertTrue(result.cold().worst() <= 1, play);
    }

    /** Relays whose first failed call ends after the outage cannot know of it; the others keep the bound. */
    private static void toldRelaysWithinTheBound(String play, Result result) {
        assertTrue(result.cold().worstTold() <= 1, play);
        assertFalse(result.cold().ruleBroken(), play);
    }

    @Test
    void unlistedAfterRefusedConnections() {
        play(Weights.NONE, Outage.REFUSED, ColdReturnTest::withinTheBound);
    }

    @Test
    void unlistedAfterBeingShut() {
        play(Weights.NONE, Outage.SHUT, ColdReturnTest::withinTheBound);
    }

    @Test
    void unlistedAfterSilence() {
        play(Weights.NONE, Outage.SILENT, ColdReturnTest::toldRelaysWithinTheBound);
    }

    @Test
    void listedAfterRefusedConnections() {
        play(Weights.NOMINAL, Outage.REFUSED, ColdReturnTest::withinTheBound);
        play(Weights.ROUGH, Outage.REFUSED, ColdReturnTest::withinTheBound);
    }

    @Test
    void listedAfterSilence() {
        play(Weights.NOMINAL, Outage.SILENT, ColdReturnTest::toldRelaysWithinTheBound);
        play(Weights.ROUGH, Outage.SILENT, ColdReturnTest::toldRelaysWithinTheBound);
    }

    @Test
    void listedAfterBeingShut() {
        play(Weights.NOMINAL, Outage.SHUT, ColdReturnTest::withinTheBound);
        play(Weights.ROUGH, Outage.SHUT, ColdReturnTest::withinTheBound);
    }

    /** A relay that carried little before the outage still finds out in time that it is over. */
    @Test
    void fewMessagesOfQuietRelaysEndWithoutACall() {
        for (Outage outage : List.of(Outage.REFUSED, Outage.SILENT)) {
            double untried = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                Scenario scenario = new Scenario(120, outage, Weights.NONE, CAPACITY, seed);
                untried += ColdFleet.play(scenario).untried() / SEEDS;
            }
            assertTrue(untried < 0.025, outage + " " + untried);
        }
    }

    private static final long[] RESTART_TIMES = {-3_000, -1_000, 300, 5_000};

    /** Names the scenarios in which relays that were told of the outage overrun the destination. */
    private static void keptByRelaysTold(List<Scenario> scenarios) {
        List<String> broken = scenarios.parallelStream().map(scenario -> {
            ColdDestination.Load load = ColdFleet.play(scenario).cold();
            return load.worstTold() > 1 || load.ruleBroken() ? scenario + " " + load : "";
        }).filter(play -> !play.isEmpty()).toList();
        assertTrue(broken.isEmpty(),
            broken.size() + " of " + scenarios.size() + ", the first: " + broken.stream().findFirst().orElse(""));
    }

    private static final Set<Outage> REFUSALS = EnumSet.of(Outage.SHUT, Outage.TURNED_AWAY);
    private static final Set<Outage> FAILURES = EnumSet.complementOf(EnumSet.copyOf(REFUSALS));

    private static List<Scenario> restarts(Set<Outage> outages, Inheritance inheritance, double... shares) {
        List<Scenario> all = new ArrayList<>();
        for (Outage outage : outages) {
            for (Weights weights : List.of(Weights.NONE, Weights.NOMINAL)) {
                for (double capacity : new double[] {20, 60}) {
                    for (long millis : RESTART_TIMES) {
                        for (double share : shares) {
                            long at = ColdDestination.firstReturn() + millis * ColdFleet.MS;
                            for (long seed = 1; seed <= 3; seed++) {
                                all.add(new Scenario(44, outage, weights, capacity, seed)
                                    .with(new Restart(at, share, inheritance)));
                            }
                        }
                    }
                }
            }
        }
        return all;
    }

    @Test
    void relaysKilledInAnOutageOfFailuresStayTold() {
        keptByRelaysTold(restarts(FAILURES, Inheritance.FOLDER, 0.02, 0.7, 1));
    }

    @Test
    void relaysKilledInAnOutageOfRefusalsStayTold() {
        keptByRelaysTold(restarts(REFUSALS, Inheritance.FOLDER, 0.02, 0.7, 1));
    }

    @Test
    void oneRelayThatLostItsFolderDoesNotOverrunTheDestination() {
        keptByRelaysTold(restarts(EnumSet.allOf(Outage.class), Inheritance.NOTHING, 0.02));
    }

    @Test
    void manyRelaysThatLostTheirFoldersStayTold() {
        keptByRelaysTold(restarts(EnumSet.allOf(Outage.class), Inheritance.NOTHING, 0.7, 1));
    }

    @Test
    void relaysReplacedAroundTheReturnStayTold() {
        keptByRelaysTold(restarts(EnumSet.allOf(Outage.class), Inheritance.HANDOVER, 0.02, 0.7, 1));
    }

    @Test
    void relaysKilledOnceMoreInTheSlowStartStayTold() {
        List<Scenario> all = new ArrayList<>();
        for (Scenario once : restarts(EnumSet.allOf(Outage.class), Inheritance.FOLDER, 0.7)) {
            Restart first = once.restarts().get(0);
            Restart second = new Restart(first.at() + 2 * ColdFleet.SECOND, 0.7, Inheritance.FOLDER);
            all.add(once.with(first, second));
        }
        keptByRelaysTold(all);
    }

    private static List<Scenario> sizes(Set<Outage> outages) {
        List<Scenario> all = new ArrayList<>();
        for (Outage outage : outages) {
            for (Weights weights : Weights.values()) {
                for (int relays : new int[] {1, 4, 44, 120}) {
                    for (double capacity : new double[] {4, 20, 60, 250}) {
                        Scenario uneven = new Scenario(relays, outage, weights, capacity, 1);
                        all.addAll(List.of(uneven, uneven.evenly(), uneven.withOutages(2)));
                    }
                }
            }
        }
        return all;
    }

    @Test
    void fleetsOfEverySizeKeepTheBudgetAfterFailures() {
        keptByRelaysTold(sizes(FAILURES));
    }

    @Test
    void fleetsOfEverySizeKeepTheBudgetAfterRefusals() {
        keptByRelaysTold(sizes(REFUSALS));
    }
}
