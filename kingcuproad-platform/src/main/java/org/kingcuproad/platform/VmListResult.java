package org.kingcuproad.platform;

import java.util.List;

/** What became of reading the list of VMs. */
public sealed interface VmListResult {

    /**
     * The VMs of a stage, as the platform saw them some time ago.
     *
     * @param vms the VMs
     */
    record Listed(List<Vm> vms) implements VmListResult {

        /**
         * Copies the list, so that the value is immutable.
         *
         * @param vms the VMs
         */
        public Listed {
            vms = List.copyOf(vms);
        }
    }

    /**
     * The platform did not answer.
     *
     * @param detail what went wrong
     */
    record Unavailable(String detail) implements VmListResult {}
}
