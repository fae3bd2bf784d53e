package org.quetzalseam.gateway.peer;

import org.quetzalseam.core.crash.CrashReport;

/** Receives what other entries tell of crashes. Used on the event loop only. */
public interface CrashListener {
    /** Takes in what an entry has learnt since it told of crashes last. */
    void heard(String reporter, CrashReport news);
}
