/** Decisions as pure functions of what is known: no input or output, no clock, no thread. */
package maplerail.policy;
