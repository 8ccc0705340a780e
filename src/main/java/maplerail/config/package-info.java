/** Configuration and settings: parsed once, checked and turned into typed values. */
package maplerail.config;
