/** Entry of the program. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Effect} from 'effect';
import {createLogger, logFormats} from './log/index.js';
import {runNode} from './node/index.js';
import {readSettings} from './settings/index.js';

const exitCodes = {done: 0, failed: 1, badInput: 2} as const;

async function main(): Promise<number> {
	const {values} = parseArgs({
		allowPositionals: true,
		options: {settings: {type: 'string'}},
	});
	const settings = readSettings(values.settings ?? 'foxtailtide.yaml');
	if (settings.isErr()) {
		process.stderr.write(`${settings.error.message}\n`);
		return exitCodes.badInput;
	}

	const log = createLogger(logFormats.json, {nodeId: settings.value.node.id});
	const running = runNode(settings.value, log, ports => {
		process.stdout.write(`${JSON.stringify(ports)}\n`);
	});
	return Effect.runPromise(
		running.pipe(
			Effect.as(exitCodes.done),
			Effect.catchAll(error => {
				log.error(error.message);
				return Effect.succeed(exitCodes.failed);
			}),
		),
	);
}

void main().then(code => {
	process.exitCode = code;
});
