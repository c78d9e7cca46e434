package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import org.anvilbarrow.scheduler.quickstart.Quickstart

/** `anvilbarrow quickstart`. */
internal class QuickstartCommand : CliktCommand(name = "quickstart") {
    override fun help(context: Context): String =
        "Runs a cell of stand-ins and schedulers in this process, sends requests and prints what became of them."

    override fun run() {
        val report = Quickstart().run()
        echo(report.text())
        if (!report.isGood) throw ProgramResult(1)
    }
}
