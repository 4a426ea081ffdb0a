/** Runs one node until it is stopped. */
import process from 'node:process';
import * as Flags from '@oclif/core/flags';
import {Effect} from 'effect';
import {createLogger} from '../log/index.js';
import {runNode} from '../node/index.js';
import {readSettings} from '../settings/index.js';
import {BaseCommand} from './base-command.js';
import {exitCodes} from './exit-codes.js';

export class NodeCommand extends BaseCommand {
	static override summary = 'Run a node beside a server.';
	static override description =
		'Prints its ports as one line of JSON once it listens. On SIGTERM or SIGINT it accepts no new work, completes the requests in flight, and exits. With an invalid settings file it exits with 2 before it listens.';

	static override examples = ['<%= config.bin %> node --settings node.yaml'];
	static override flags = {
		settings: Flags.string({
			description: 'YAML file of the settings',
			default: 'foxtailtide.yaml',
		}),
	};

	override async run(): Promise<void> {
		const {flags} = await this.parse(NodeCommand);
		const settings = readSettings(flags.settings);
		if (settings.isErr()) {
			return this.fail(exitCodes.badInput, settings.error.message);
		}

		const log = createLogger(settings.value.log.format, {nodeId: settings.value.node.id});
		const program = runNode(settings.value, log, ports => {
			process.stdout.write(`${JSON.stringify(ports)}\n`);
		});
		await Effect.runPromise(
			program.pipe(
				Effect.catchAll(error => {
					log.error(error.message);
					process.exitCode = exitCodes.failed;
					return Effect.void;
				}),
			),
		);
	}
}
