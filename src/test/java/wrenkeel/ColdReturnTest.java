package wrenkeel;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import wrenkeel.ColdFleet.Outage;
import wrenkeel.ColdFleet.Result;
import wrenkeel.ColdFleet.Scenario;
import wrenkeel.Relay.Weights;

/** Guards a destination that comes back cold against the sum of the calls of a whole fleet. */
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
                worst = Math.max(worst, result.worst());
                worstTold = Math.max(worstTold, result.worstTold());
                inAim += result.inAim() / SEEDS;
                untried += result.untried() / SEEDS;
            }
            System.out.printf(Locale.ROOT, "cold return %s %s %d relays: worst %.2f, of relays told %.2f, "
                + "in aim %.3f, untried %.3f%n", weights, outage, relays, worst, worstTold, inAim, untried);
        }
        assertAll(checks);
    }

    private static void withinTheBound(String play, Result result) {
        assertTrue(result.worst() <= 1, play);
    }

    /** Relays whose first failed call ends after the outage cannot know of it; the others keep the bound. */
    private static void toldRelaysWithinTheBound(String play, Result result) {
        assertTrue(result.worstTold() <= 1, play);
        assertFalse(result.ruleBroken(), play);
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
}
