package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.kingcuproad.emulator.platform.PlatformStandIn;
import org.kingcuproad.model.KingcuproadException;

/** Runs the stand-in of the platform until the process is stopped. */
@Parameters(commandDescription = "Run a stand-in of the platform until the process is stopped")
public final class EmulatePlatformCommand implements Command {

    @Parameter(names = "--port", description = "TCP port, or 0 for any free one", required = true)
    private int port;

    @Parameter(names = "--host", description = "IP number to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--json", description = "Write the result as JSON")
    private boolean json;

    /** Creates the command. */
    public EmulatePlatformCommand() {}

    @Override
    public String name() {
        return "emulate-platform";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        try (PlatformStandIn platform = PlatformStandIn.start(host, port)) {
            out.println(json ? "{\"url\":\"" + platform.url() + "\"}" : "listening on " + platform.url());
            out.flush();
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.SUCCESS;
    }
}
