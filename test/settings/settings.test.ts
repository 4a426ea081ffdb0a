/** Validation of the settings: all faults are reported at once, each with its line and a remedy. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {parseSettings} from '../../src/settings/index.js';

const validSettings = `node:
  id: coast-1
  host: 127.0.0.1
  region: coast
  failureDomain: coast-a
listeners: {data: 0, peer: 0, control: 0, local: 0, administration: 0}
`;

test('missing optional settings get their defaults', () => {
	const settings = parseSettings(validSettings)._unsafeUnwrap();
	expect(settings.node.id).toEqual('coast-1');
	expect(settings.seeds).toEqual([]);
	expect(settings.log.format).toEqual('json');
});

const faultCases: ReadonlyArray<{
	readonly name: string;
	readonly text: string;
	readonly faults: readonly string[];
}> = [
	{name: 'invalid YAML', text: 'node: [', faults: ['1 ']},
	{name: 'an empty file', text: '', faults: ['1 ']},
	{
		name: 'a misspelt key',
		text: validSettings.replace('failureDomain', 'zone'),
		faults: ['1 node.failureDomain', '5 node.zone'],
	},
	{
		name: 'a port out of range',
		text: validSettings.replace('data: 0', 'data: 70000'),
		faults: ['6 listeners.data'],
	},
	{
		name: 'one port for two listeners',
		text: validSettings
			.replace('data: 0', 'data: 71')
			.replace('administration: 0', 'administration: 71'),
		faults: ['6 listeners.administration'],
	},
	{
		name: 'a host name in place of an address',
		text: validSettings.replace('127.0.0.1', 'example.org'),
		faults: ['3 node.host'],
	},
	{
		name: 'a seed without a port, and a wrong log format',
		text: `${validSettings}seeds:\n  - 127.0.0.1:7000\n  - 127.0.0.1\nlog: {format: xml}\n`,
		faults: ['9 seeds.1', '10 log.format'],
	},
];

for (const {name, text, faults} of faultCases) {
	test(`settings with ${name} are rejected`, () => {
		const found = parseSettings(text)._unsafeUnwrapErr();
		expect(found.map(({line, place}) => `${line} ${place}`)).toEqual([...faults]);
		for (const {message} of found) {
			expect(message).toMatchRegex(/correct|remove|give/v);
		}
	});
}

test('any text is accepted or rejected with faults, without an exception', () => {
	const property = fc.property(fc.string({unit: 'grapheme'}), sample => {
		const result = parseSettings(sample);
		return result.isOk() || result.error.length > 0;
	});
	fc.assert(property, {seed: 51, numRuns: 300});
});
