package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import org.anvilbarrow.scheduler.account.LossTable
import kotlin.io.path.forEachLine

/** `anvilbarrow account FILE`. */
internal class AccountCommand : CliktCommand(name = "account") {
    private val file by argument(help = "Log of one or more processes").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String =
        "Sums up from a log what kept the jobs of each queue from their objective."

    override fun run(): Unit = echo(LossTable().apply { file.forEachLine(action = ::read) }.text())
}
