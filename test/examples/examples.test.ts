/** The example files are valid, and the presets cover every service of both deployments. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {expect} from 'earl';
import {parseConfiguration} from '../../src/configuration/index.js';
import {parseExperiment} from '../../src/load/index.js';
import {formatFaults, parseSettings} from '../../src/settings/index.js';

const examples = path.resolve(import.meta.dirname, '../../examples');

const cases: ReadonlyArray<{
	readonly team: string;
	readonly services: readonly string[];
}> = [
	{team: 'darkrooms', services: ['availability', 'booking', 'ledger', 'proofs']},
	{team: 'winterthal', services: ['archive', 'artwork', 'print-orders', 'proofs']},
];

for (const {team, services} of cases) {
	test(`the presets of ${team} are valid and name every service`, () => {
		const text = readFileSync(path.join(examples, team, 'configuration.yaml'), 'utf8');
		const document = parseConfiguration(text)._unsafeUnwrap();
		expect(Object.keys(document.presets)).toEqual(['ordinary', 'peaks', 'maintenance']);
		expect(document.inForce).toEqual('ordinary');
		for (const preset of Object.values(document.presets)) {
			expect(Object.keys(preset.services).toSorted((a, b) => a.localeCompare(b))).toEqual(
				[...services],
			);
		}
	});
}

for (const {team} of cases) {
	test(`the node settings of ${team} are valid`, () => {
		const text = readFileSync(path.join(examples, team, 'node.yaml'), 'utf8');
		const faults = parseSettings(text).match(
			() => '',
			found => formatFaults('node.yaml', found),
		);
		expect(faults).toEqual('');
	});
}

const experiments = path.resolve(import.meta.dirname, '../../bench/experiments');
for (const file of readdirSync(experiments)) {
	test(`the experiment ${file} is valid`, () => {
		const text = readFileSync(path.join(experiments, file), 'utf8');
		expect(parseExperiment(text)._unsafeUnwrap().name).toEqual(
			path.basename(file, '.yaml'),
		);
	});
}
