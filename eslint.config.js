import { readFileSync } from 'node:fs';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const VERBS = new Set(
  readFileSync(new URL('./docs/verbs.md', import.meta.url), 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('- '))
    .flatMap((line) => line.slice(line.indexOf(':') + 1).split(','))
    .map((verb) => verb.trim()),
);

/** Reports functions and methods whose name does not begin with a verb of docs/verbs.md. */
const verbFirst = {
  create(context) {
    function checkName(node, name) {
      const first = /^[a-z]+/.exec(name.replace(/^#/, ''))?.[0];
      if (first !== undefined && !VERBS.has(first) && name !== 'constructor') {
        context.report({ node, message: `"${name}" begins with "${first}", not in docs/verbs.md` });
      }
    }
    return {
      FunctionDeclaration(node) {
        if (node.id) checkName(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method' && !node.computed) checkName(node.key, node.key.name);
      },
      TSAbstractMethodDefinition(node) {
        if (node.kind === 'method' && !node.computed) checkName(node.key, node.key.name);
      },
    };
  },
};

export default [
  { ignores: ['dist/', 'node_modules/', 'target/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    plugins: { local: { rules: { 'verb-first': verbFirst } } },
    rules: {
      'local/verb-first': 'error',
      // mod.ts files re-export by name, and a schema file exports a schema with its inferred type.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      // Sequential awaits are the norm in actors, which handle one message at a time.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // Files are read synchronously only before a daemon serves anyone.
      'n/no-sync': 'off',
      // The launcher is the compiled file in dist/.
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': [
        'error',
        { ignores: ['import.meta.dirname', 'test.describe'] },
      ],
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': ['error', { ignoreOverrideMethods: true }],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ForInStatement',
          message: 'Use Object.keys, Object.values or Object.entries.',
        },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to read.' },
        { selector: 'WithStatement', message: 'with is not allowed in strict mode.' },
      ],
    },
  },
  {
    files: ['**/*.test.ts', 'scripts/**', 'measure/**', 'eslint.config.js'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
];
