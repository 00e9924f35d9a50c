package org.kingcuproad.gateway;

import java.util.concurrent.TimeUnit;

/** Clocks of a process. */
public interface Clock {

    /** The clocks of the VM. */
    Clock SYSTEM = new Clock() {
        @Override
        public long steadyMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public long wallMs() {
            return System.currentTimeMillis();
        }
    };

    /**
     * Returns the time on a clock that never jumps and stands still while the VM is suspended.
     *
     * @return milliseconds since an arbitrary start
     */
    long steadyMs();

    /**
     * Returns the time of day, which may jump.
     *
     * @return Unix milliseconds
     */
    long wallMs();
}
