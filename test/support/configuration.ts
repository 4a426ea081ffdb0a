/** Creates a small valid configuration document with two presets. */
export function createDocumentText(team: string, deadlineMilliseconds = 800): string {
	return `team: ${team}
inForce: ordinary
presets:
  ordinary:
    ranks: [{name: urgent, floorShare: 0.2}, {name: normal, floorShare: 0.2}]
    services:
      booking: {rank: urgent, deadlineMilliseconds: ${deadlineMilliseconds}}
  peak:
    ranks: [{name: urgent, floorShare: 0.4}, {name: normal, floorShare: 0.2}]
    services:
      booking: {rank: urgent, deadlineMilliseconds: 400}
`;
}
