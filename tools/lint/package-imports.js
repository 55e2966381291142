import fs from 'node:fs';
import path from 'node:path';

const rootDirectory = path.resolve(import.meta.dirname, '../..');
const packagesDirectory = path.join(rootDirectory, 'packages');

/** Name of the adapter for the users' platform, whose directory is next to `packages`. */
const adapterName = 'vihmavesi';
const adapterDirectory = path.join(rootDirectory, 'platform');

/** Package order of section 11 of docs/design.md: a package may import only packages that precede it here. */
const packageOrder = ['results', 'telemetry', 'platform', 'configuration', 'measuring', 'membership', 'routing', 'claims', 'http', 'peers', adapterName, 'cli', 'stand-ins', 'bench'];

const manifests = new Map(packageOrder.map(name => [
	name, JSON.parse(fs.readFileSync(path.join(name === adapterName ? adapterDirectory : path.join(packagesDirectory, name), 'package.json'), 'utf8')),
]));
const namesBySpecifier = new Map([...manifests].map(([name, manifest]) => [manifest.name, name]));

function findViolation(importer, isTest, specifier) {
	const target = namesBySpecifier.get(specifier);
	if (!target || isTest) {
		return;
	}

	if (!(specifier in (manifests.get(importer)?.dependencies ?? {}))) {
		return 'undeclared';
	}

	if (packageOrder.indexOf(target) >= packageOrder.indexOf(importer)) {
		return 'wrongOrder';
	}

	if (target === 'stand-ins' && importer !== 'bench') {
		return 'standIn';
	}
}

/** ESLint rule: imports between workspaces follow the package order of docs/design.md, section 11. */
const rule = {
	meta: {
		type: 'problem',
		schema: [],
		messages: {
			undeclared: '{{importer}} imports {{specifier}}, which is not in the dependencies of its package.json.',
			wrongOrder: '{{importer}} may not import {{specifier}}: imports follow the package order in docs/design.md, section 11.',
			standIn: '{{importer}} is product code and may not import stand-ins or the bench.',
		},
	},
	create(context) {
		const isAdapter = context.filename.startsWith(adapterDirectory + path.sep);
		const relative = path.relative(isAdapter ? adapterDirectory : packagesDirectory, context.filename).split(path.sep);
		const [importer, folder] = isAdapter ? [adapterName, ...relative] : relative;
		return {
			ImportDeclaration(node) {
				const messageId = findViolation(importer, folder === 'tests', node.source.value);
				if (messageId) {
					context.report({node, messageId, data: {importer, specifier: node.source.value}});
				}
			},
		};
	},
};

export default rule;
