package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.standins.log.LogStandIn
import org.anvilbarrow.standins.upstream.UpstreamStandIn
import org.anvilbarrow.standins.vmlist.VmListSettings
import org.anvilbarrow.standins.vmlist.VmListStandIn
import java.time.Duration

private const val MAX_PORT = 65_535

/** `anvilbarrow stand-in`. */
internal class StandInCommand : CliktCommand(name = "stand-in") {
    override fun help(context: Context): String = "Runs a minimal version of a platform service on a loopback port."

    override fun run(): Unit = Unit
}

/** Runs a stand-in in the foreground until SIGTERM or SIGINT. */
internal abstract class ForegroundStandInCommand(
    name: String,
) : CliktCommand(name = name) {
    protected val port: Int by option(help = "loopback port").int().restrictTo(1..MAX_PORT).required()

    protected fun serve(
        start: () -> Int,
        close: () -> Unit,
    ): Unit =
        runUntilTerminated(
            start = { echo("$commandName listens on 127.0.0.1:${start()}") },
            stop = {
                close()
                true
            },
        )
}

/** `anvilbarrow stand-in upstream`. */
internal class StandInUpstreamCommand : ForegroundStandInCommand("upstream") {
    override fun help(context: Context): String = "Runs a stand-in upstream."

    override fun run() {
        val upstream = UpstreamStandIn(port = port)
        serve(upstream::start, upstream::close)
    }
}

/** `anvilbarrow stand-in log`. */
internal class StandInLogCommand : ForegroundStandInCommand("log") {
    override fun help(context: Context): String = "Runs a stand-in for the append-only log."

    override fun run() {
        val log = LogStandIn(port = port)
        serve(log::start, log::close)
    }
}

/** `anvilbarrow stand-in vm-list`. */
internal class StandInVmListCommand : ForegroundStandInCommand("vm-list") {
    private val lagMillis by option(
        help = "delay in ms before a change is visible",
    ).int().restrictTo(min = 0).default(2_000)
    private val vms by argument(name = "vm", help = "names of live VMs").multiple()

    override fun help(context: Context): String = "Runs a stand-in for the VM list."

    override fun run() {
        val entries = vms.map { VmEntry(it, VmState.LIVE) }
        val list = VmListStandIn(VmListSettings(Duration.ofMillis(lagMillis.toLong()), entries), port)
        serve(list::start, list::close)
    }
}
