/** The demo of the README completes and prints the documented output. */
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {expect} from 'earl';

const root = path.resolve(import.meta.dirname, '../..');
const lowestPort = 12_000;
const portsPerRun = 20;
const concurrentRuns = 400;

test('the demo shows calls, a preset switch on all nodes and a state dump, and exits', async () => {
	const firstPort = lowestPort + (process.pid % concurrentRuns) * portsPerRun;
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
