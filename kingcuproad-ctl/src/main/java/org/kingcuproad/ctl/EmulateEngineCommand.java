package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.PrintStream;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.engine.EngineStandIn;
import org.kingcuproad.model.KingcuproadException;

/** Runs a stand-in of a model engine until the process is stopped. */
@Parameters(commandDescription = "Run a stand-in of a model engine")
final class EmulateEngineCommand implements Command {

    @Parameter(names = "--host", description = "IP address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", required = true, description = "TCP port, or 0 for any free one")
    private int port;

    @Parameter(names = "--first-token-ms", description = "Time to the first token, in milliseconds")
    private int firstTokenMs = 20;

    @Parameter(names = "--token-ms", description = "Time between tokens, in milliseconds")
    private int tokenMs = 10;

    @Parameter(names = "--max-concurrent", description = "Requests that run at the same time")
    private int maxConcurrent = 32;

    @Parameter(names = "--max-waiting", description = "Requests that may wait")
    private int maxWaiting = 256;

    @Override
    public String name() {
        return "emulate-engine";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        EngineSettings settings =
                EngineSettings.of(host, port).withSpeed(firstTokenMs, tokenMs).withCapacity(maxConcurrent, maxWaiting);
        EngineStandIn engine = EngineStandIn.start(new NioEventLoopGroup(1), settings);
        out.println("{\"port\":" + engine.port() + "}");
        return Blocking.untilStopped();
    }
}
