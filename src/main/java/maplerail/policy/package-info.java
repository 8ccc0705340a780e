/** Decisions as pure functions of known facts: no input or output, no clock, no threads. */
package maplerail.policy;
