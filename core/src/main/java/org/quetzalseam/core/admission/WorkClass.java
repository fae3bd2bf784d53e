package org.quetzalseam.core.admission;

/** Class of work that a catalogue entry sets. Queues serve short work ahead of long work. */
public enum WorkClass {
    /** Interactive work, such as lookups, checks and receipts, that a person waits for. */
    SHORT,
    /** Work such as documents and chapters, whose callers accept a long wait but no loss. */
    LONG;

    /** Returns the name used in the catalogue, logs and metrics. */
    public String label() {
        return this == SHORT ? "short" : "long";
    }
}
