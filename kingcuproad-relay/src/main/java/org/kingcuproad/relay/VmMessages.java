package org.kingcuproad.relay;

import java.util.List;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.platform.Vm;
import org.kingcuproad.platform.VmRole;
import org.kingcuproad.platform.VmState;
import org.kingcuproad.wire.proto.DocumentUpdate;
import org.kingcuproad.wire.proto.VmEntry;

/** Turns VMs into messages and back. */
final class VmMessages {

    private VmMessages() {}

    static DocumentUpdate update(List<Vm> vms) {
        return DocumentUpdate.newBuilder()
                .setHasVms(true)
                .addAllVms(vms.stream().map(VmMessages::entry).toList())
                .build();
    }

    static List<Vm> vms(DocumentUpdate update) {
        return update.getVmsList().stream().map(VmMessages::vm).toList();
    }

    private static VmEntry entry(Vm vm) {
        return VmEntry.newBuilder()
                .setName(vm.name())
                .setEntry(vm.role() == VmRole.ENTRY)
                .setHost(vm.address().host())
                .setPort(vm.address().port())
                .setDataCentre(vm.dataCentre())
                .setLeaving(vm.state() == VmState.LEAVING)
                .build();
    }

    private static Vm vm(VmEntry entry) {
        return new Vm(
                entry.getName(),
                entry.getEntry() ? VmRole.ENTRY : VmRole.UPSTREAM,
                new HostPort(entry.getHost(), entry.getPort()),
                entry.getDataCentre(),
                entry.getLeaving() ? VmState.LEAVING : VmState.LIVE);
    }
}
