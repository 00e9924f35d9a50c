package org.kingcuproad.gateway;

import org.kingcuproad.policy.enginegroup.GroupReport;
import org.kingcuproad.policy.gateway.StoreContact;

/** Passes reports of other gateways and of agents on to the parts of the gateway that use them. */
final class PeerReportHandler implements PeerChannel.Listener {

    private final Gateway gateway;

    PeerReportHandler(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public void onSlowdown(String host, double slowdown) {
        gateway.allUpstreams().stream()
                .filter(upstream -> upstream.entry().host().equals(host))
                .forEach(upstream ->
                        upstream.setSlowdown(slowdown, gateway.clock().steadyMs(), gateway.log()));
    }

    @Override
    public void onGroupReport(String host, GroupReport report) {
        gateway.engineGroups().onReport(host, report, gateway.clock().steadyMs());
    }

    @Override
    public void onCrashReport(CrashReport report) {
        gateway.knownDispatcher(report.service())
                .ifPresent(dispatcher -> dispatcher
                        .crashProtection()
                        .guard()
                        .onReport(report, gateway.clock().steadyMs()));
    }

    @Override
    public void onLimitReport(LimitReport report) {
        gateway.upstreamLimits().onReport(report, gateway.clock().steadyMs());
    }

    @Override
    public void onEndReport(EndReport report) {
        gateway.endReports().onReport(report, gateway.clock().steadyMs());
    }

    @Override
    public void onStoreContact(StoreContact.Report report) {
        gateway.storeContact().onPeerReport(report, gateway.clock().steadyMs());
    }
}
