/** A request's life from its arrival to its one final answer, without any wire: admission, decisions carried out, attempts, the answer, and what engines hold for it. */
package maplerail.core;
