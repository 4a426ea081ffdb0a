/** The demo of the README completes and prints the documented output. */
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {expect} from 'earl';
import {findFreePorts} from '../support/processes.js';

const root = path.resolve(import.meta.dirname, '../..');
const portsPerRun = 20;

/** Claims ports in a row, which no other test uses meanwhile. */
async function claimPorts(): Promise<number> {
	for (;;) {
		const ports = await findFreePorts(portsPerRun);
		if (ports.at(-1)! - ports[0]! === portsPerRun - 1) {
			return ports[0]!;
		}
	}
}

test('the demo shows calls, a preset switch on all nodes and a state dump, and exits', async () => {
	const firstPort = await claimPorts();
	const {stdout} = await promisify(execFile)(
		process.execPath,
		[path.join(root, 'dist/demo.cjs'), '--first-port', String(firstPort)],
		{cwd: root},
	);
	const shown = [
		'outcome ran',
		'peaks accepted as version 2',
		'* peaks',
		'in force everywhere',
		'"nodeId": "coast-0"',
		'all processes have ended',
	];
	for (const text of shown) {
		expect(stdout).toInclude(text);
	}
});
