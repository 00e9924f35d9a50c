package org.kingcuproad.relay;

import java.util.List;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.Vm;

/** Receives what a process must put in force, on its event loop. */
public interface FollowerListener {

    /**
     * Takes a document whose revision is greater than all before.
     *
     * @param document the document and its revision
     */
    void onDocument(VersionedDocument document);

    /**
     * Takes the latest list of VMs.
     *
     * @param vms all VMs for an entry, the entries of its data centre for an agent
     */
    void onVms(List<Vm> vms);
}
