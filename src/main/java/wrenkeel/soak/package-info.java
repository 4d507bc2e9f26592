/**
 * The randomized fault soak: real relay processes on loopback between stand-ins, with faults that overlap in
 * time, and an oracle that goes by the stand-ins' own records. A relay loads nothing of it.
 */
package wrenkeel.soak;
