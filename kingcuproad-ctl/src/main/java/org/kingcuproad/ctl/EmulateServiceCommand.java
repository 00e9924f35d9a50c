package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.PrintStream;
import org.kingcuproad.emulator.service.ServiceSettings;
import org.kingcuproad.emulator.service.ServiceStandIn;
import org.kingcuproad.model.KingcuproadException;

/** Runs a stand-in of a plain service until the process is stopped. */
@Parameters(commandDescription = "Run a stand-in of a plain service")
final class EmulateServiceCommand implements Command {

    @Parameter(names = "--host", description = "IP address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", required = true, description = "TCP port, or 0 for any free one")
    private int port;

    @Parameter(names = "--processing-ms", description = "Time that a request takes, in milliseconds")
    private int processingMs = 5;

    @Override
    public String name() {
        return "emulate-service";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        ServiceSettings settings = ServiceSettings.of(host, port).withProcessingMs(processingMs);
        ServiceStandIn service = ServiceStandIn.start(new NioEventLoopGroup(1), settings);
        out.println("{\"port\":" + service.port() + "}");
        return Blocking.untilStopped();
    }
}
