/** The demo of the README runs to its end and shows what it promises. */
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

test('the demo shows calls, a preset switch everywhere and a state dump, and ends', async () => {
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
