/** Parsing a document: defaults, all faults with their lines, and the policy of a service. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	findServicePolicy,
	parseConfiguration,
	setPresetInForce,
} from '../../src/configuration/index.js';

const validText = `# committee document
team: darkrooms
inForce: ordinary
presets:
  ordinary:
    ranks:
      - {name: urgent, floorShare: 0.2}
      - {name: normal, floorShare: 0.2}
    services:
      booking: {rank: urgent, deadlineMilliseconds: 800}
  peak:
    ranks: [{name: urgent, floorShare: 1}]
    services:
      booking: {rank: urgent, deadlineMilliseconds: 400, upload: true}
    routing: {candidates: 3}
`;

test('a valid document is parsed with its defaults', () => {
	const document = parseConfiguration(validText)._unsafeUnwrap();
	const found = findServicePolicy([document], 'booking');
	expect(found?.service).toEqual({
		rank: 'urgent',
		deadlineMilliseconds: 800,
		idempotentMethods: ['GET', 'HEAD'],
		maximumKeyedBodyBytes: 1_048_576,
		upload: false,
	});
	expect(found?.ranks.map(rank => rank.name)).toEqual(['urgent', 'normal']);
	expect(found?.preset.routing.candidates).toEqual(16);
	expect(findServicePolicy([document], 'constructor')).toEqual(undefined);
});

test('a preset switch changes the preset in force and keeps the comments', () => {
	const switched = setPresetInForce(validText, 'peak');
	const document = parseConfiguration(switched)._unsafeUnwrap();
	expect(switched.includes('# committee document')).toEqual(true);
	expect(findServicePolicy([document], 'booking')?.service.deadlineMilliseconds).toEqual(
		400,
	);
});

const faultCases = [
	{
		name: 'unknown key',
		text: validText.replace('upload: true', 'uplod: true'),
		faults: [[14, 'presets.peak.services.booking.uplod']],
	},
	{
		name: 'unknown preset in force',
		text: validText.replace('inForce: ordinary', 'inForce: holiday'),
		faults: [[3, 'inForce']],
	},
	{
		name: 'floor shares above 1 in total',
		text: validText.replace('floorShare: 0.2', 'floorShare: 0.9'),
		faults: [[6, 'presets.ordinary.ranks']],
	},
	{
		name: 'duplicate rank',
		text: validText.replace('name: normal', 'name: urgent'),
		faults: [[8, 'presets.ordinary.ranks.1.name']],
	},
	{
		name: 'several faults of the schema and between fields',
		text: validText
			.replace('team: darkrooms', 'team: Dark Rooms')
			.replace('rank: urgent, deadlineMilliseconds: 800', 'rank: calm')
			.replace('candidates: 3', 'candidates: many'),
		faults: [
			[2, 'team'],
			[10, 'presets.ordinary.services.booking.deadlineMilliseconds'],
			[10, 'presets.ordinary.services.booking.rank'],
			[15, 'presets.peak.routing.candidates'],
		],
	},
	{
		name: 'invalid service name',
		text: validText.replace(
			'booking: {rank: urgent, deadlineMilliseconds: 800}',
			'Boo_king: {}',
		),
		faults: [[10, 'presets.ordinary.services.Boo_king']],
	},
	{
		name: 'YAML syntax error',
		text: validText.replace('[{name', '[{{name'),
		faults: [[12, '']],
	},
	{name: 'empty text', text: '', faults: [[1, '']]},
	{name: 'too large', text: `# ${'x'.repeat(600_000)}`, faults: [[1, '']]},
] as const;

for (const {name, text, faults} of faultCases) {
	test(`a document is rejected: ${name}`, () => {
		const found = parseConfiguration(text)._unsafeUnwrapErr();
		for (const [line, place] of faults) {
			const match = found.find(fault => fault.line === line && fault.place === place);
			expect(match?.message.includes(';')).toEqual(true);
		}

		expect(found.length >= faults.length).toEqual(true);
	});
}
