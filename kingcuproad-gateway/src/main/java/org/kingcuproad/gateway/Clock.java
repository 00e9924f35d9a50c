package org.kingcuproad.gateway;

import java.util.concurrent.TimeUnit;

/** Steady and wall-clock time of a process. */
public interface Clock {

    /** The system clocks of the VM. */
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
     * Returns the time on a monotonic clock, which stops while the VM is suspended.
     *
     * @return milliseconds since an arbitrary start
     */
    long steadyMs();

    /**
     * Returns the wall-clock time, which may jump.
     *
     * @return Unix milliseconds
     */
    long wallMs();
}
