/** Configuration and settings: read once, checked, and turned into typed values. */
package maplerail.config;
