/**
 * The randomized fault soak. It runs real relay processes on loopback between stand-in clients, destinations
 * and a stand-in discovery agent, injects faults that overlap in time, and lets an oracle check the records
 * of the stand-ins against the rules of the protocol. A serving relay loads no class of this package.
 */
package wrenkeel.soak;
