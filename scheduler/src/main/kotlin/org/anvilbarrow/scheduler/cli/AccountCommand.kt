package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import org.anvilbarrow.scheduler.account.OutcomeTable
import kotlin.io.path.forEachLine

/** `anvilbarrow account FILE`. */
internal class AccountCommand : CliktCommand(name = "account") {
    private val file by argument(help = "Log file of one or more processes").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String =
        "Summarizes the outcomes and causes of delay of the jobs of each queue from a log file."

    override fun run(): Unit = echo(OutcomeTable().apply { file.forEachLine(action = ::read) }.text())
}
